#pragma once

#include <string>
#include <vector>

#include "workload.h"

/// Load, fleet size and faults of a simulation run.
namespace heatherfork::bench {

enum class FaultKind : std::uint8_t
{
  /// Random engines, selected anew for each fault, run at a quarter of their
  /// speed.
  kSlowServers,
  kZoneDown,
  kSlowLink, ///< One link between zones runs at a tenth of its rate.
};

struct Fault
{
  FaultKind mKind = FaultKind::kSlowServers;
  Duration mFrom{};
  Duration mUntil{};
};

struct Scenario
{
  std::string mName;
  int mPrefillServers = 6;
  int mDecodeServers = 14;
  int mPlainServers = 3;
  LoadCurve mCurve;
  std::vector<Fault> mFaults;
  bool mResendsRequests =
    false; ///< Workspace 0 resends unanswered completions.
  double mPlainShare = 0.1;
  Duration mPeakFrom{}; ///< Equal to mPeakUntil when there is no peak.
  Duration mPeakUntil{};
  Duration mDisruptedUntil{}; ///< End of the last fault or load peak.
};

/// Requests that arrive earlier are not measured.
constexpr Duration kWarmUp = Milliseconds(3000);

std::vector<Scenario>
AllScenarios();

/// Highest sustainable load, in requests per second.
double
CapacityOf(const Scenario& aScenario);

} // namespace heatherfork::bench
