#pragma once

#include <cstdint>
#include <vector>

#include "heatherfork/configuration_settings.h"
#include "heatherfork/ids.h"
#include "heatherfork/membership_settings.h"
#include "heatherfork/scheduling_settings.h"
#include "heatherfork/time.h"

/// Settings of a node's reducer.
namespace heatherfork {

/// Timeouts, limits and retention periods, from the settings file.
struct PolicySettings
{
  Duration mTimerInterval = Milliseconds(20);
  Duration mPlacementTimeout = Milliseconds(250);
  Duration mReserveTimeout = Milliseconds(500);
  Duration mPrefillTimeout = Milliseconds(10000);
  Duration mTransferTimeout = Milliseconds(2000);
  Duration mTokenTimeout = Milliseconds(2000); ///< Between two tokens.
  Duration mLateAnswerWait = Milliseconds(30000);
  Duration mCancelRetry = Milliseconds(500);
  Duration mCancelGiveUp = Milliseconds(120000);
  Duration mAnswerRetention = Milliseconds(60000);
  std::size_t mMaxKeptAnswers = 10000;
  std::size_t mMaxTombstones = 200000;
  int mMaxAttempts = 3;
  int mRetryBudgetPercent = 10; ///< Retries per hundred requests.

  SchedulingSettings mScheduling;

  auto operator<=>(const PolicySettings&) const = default;
};

/// The identity and addresses of a node, and its settings by area.
struct NodeSettings
{
  NodeId mSelf;
  ZoneName mZone;
  Address mCallerAddress;            ///< For callers.
  Address mPeerAddress;              ///< For other nodes.
  std::uint32_t mProcessorShare = 0; ///< Thousandths of a core; 0 if unknown.
  std::uint64_t mSeed = 0;           ///< For the random number generator.
  std::vector<Address> mSeeds; ///< Peer addresses to try first when joining.
  PolicySettings mPolicy;
  MembershipSettings mMembership;
  ConfigurationSettings mConfiguration;

  auto operator<=>(const NodeSettings&) const = default;
};

} // namespace heatherfork
