#pragma once

#include <string>
#include <vector>

#include "workload.h"

/// What happens in one run.
namespace heatherfork::bench {

enum class FaultKind : std::uint8_t
{
  kSlowServers, ///< Some engines are four times slower, each time others.
  kZoneDown,
  kSlowLink, ///< One link between two zones at a tenth of its rate.
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
  int mPrefill = 6;
  int mDecode = 14;
  int mPlain = 3;
  LoadCurve mCurve;
  std::vector<Fault> mFaults;
  bool mRefiles = false; ///< Workspace 0 sends again what is not answered.
  double mPlainShare = 0.1;
  Duration mCrestFrom{}; ///< Equal to mCrestUntil when there is no crest.
  Duration mCrestUntil{};
  Duration mDisturbedUntil{}; ///< End of the last fault or crest.
};

/// Offers before this are not measured.
constexpr Duration kWarmUp = Milliseconds(3000);

std::vector<Scenario>
AllScenarios();

/// Requests a second that the servers can just carry.
double
CapacityOf(const Scenario& aScenario);

} // namespace heatherfork::bench
