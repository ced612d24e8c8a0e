#pragma once

#include <cstddef>

#include <absl/status/status.h>

#include "heatherfork/time.h"

/// Intervals and limits of the membership protocol.
namespace heatherfork {

struct MembershipSettings
{
  Duration mProbePeriod = Milliseconds(500);
  Duration mNewsPeriod = Milliseconds(200); ///< Probe period with updates.
  Duration mAckTimeout = Milliseconds(300); ///< Then relays are asked to probe.
  Duration mRelayTimeout = Milliseconds(500); ///< Then the node is suspected.
  Duration mSuspectTimeout = Milliseconds(2000); ///< Then declared dead.
  Duration mPauseGap = Milliseconds(1000); ///< Timer gap taken as a pause.
  Duration mJoinTime = Milliseconds(10000);
  Duration mSeedInterval = Milliseconds(10000);
  Duration mDeadProbeInterval = Milliseconds(10000);
  Duration mDeadRetention = Milliseconds(7200000);
  Duration mSyncDelay = Milliseconds(3000); ///< Digest mismatch before a sync.
  Duration mSyncInterval = Milliseconds(5000);
  int mRelays = 3;         ///< Nodes asked to probe an unresponsive node.
  int mMaxGossip = 6;      ///< Records in one probe.
  int mGossipFactor = 3;   ///< Sends per update, times log2(members).
  int mMaxSyncBuckets = 8; ///< Buckets in one reply, of kSyncBuckets.
  int mMaxMembers = 4096;  ///< Known members, including dead ones.

  auto operator<=>(const MembershipSettings&) const = default;
};

/// Returns InvalidArgument with name and range of a setting out of range.
absl::Status
CheckSettings(const MembershipSettings& aSettings);

} // namespace heatherfork
