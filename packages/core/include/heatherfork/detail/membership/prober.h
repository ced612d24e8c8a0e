#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "heatherfork/ids.h"
#include "heatherfork/membership_settings.h"
#include "heatherfork/time.h"

/// Tracks probes that have not been answered.
namespace heatherfork::detail {

/// A probe whose target has not answered.
struct OpenProbe
{
  NodeId mTarget;
  Instant mSentAt{};
  bool mIsRelayed = false; ///< Relays were asked to probe the target.
  NodeId mRequester;       ///< Requesting node; incarnation 0: own probe.
  std::uint64_t mRequesterNumber = 0;

  auto operator<=>(const OpenProbe&) const = default;
};

struct NumberedProbe
{
  std::uint64_t mNumber = 0;
  OpenProbe mProbe;
};

/// Assigns probe numbers and tracks send times. Does not send.
class Prober
{
public:
  /// Registers a probe and returns its number.
  std::uint64_t Open(const OpenProbe& aProbe);

  /// Removes and returns the probe that aFrom answered. The result has no
  /// target when there is no such probe.
  OpenProbe CloseAnswered(std::uint64_t aNumber, const NodeId& aFrom);

  /// Removes an own probe whose target answered a relay.
  void CloseRelayed(std::uint64_t aNumber, const NodeId& aTarget);

  /// Own probes that exceeded the ack timeout. Each is returned once, to be
  /// sent through relays.
  std::vector<NumberedProbe> TakeUnanswered(const MembershipSettings& aSettings,
                                            Instant aNow);

  /// Removes expired probes and returns the targets of own ones.
  std::vector<NodeId> TakeFailed(const MembershipSettings& aSettings,
                                 Instant aNow);

  /// True when an own probe to aTarget is open.
  bool IsProbing(const NodeId& aTarget) const;

  /// Drops all open probes, for use after a pause of this process.
  void Clear() { mOpen.clear(); }

private:
  std::uint64_t mLastNumber = 0;
  std::map<std::uint64_t, OpenProbe> mOpen;
};

} // namespace heatherfork::detail
