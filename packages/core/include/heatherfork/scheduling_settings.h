#pragma once

#include "heatherfork/time.h"

/// Settings of the scheduling policy.
namespace heatherfork {

/// Targets, limits and intervals of placement. Each switch disables one part of
/// the policy, for benchmarks.
struct SchedulingSettings
{
  // Shards and their selection at the entry node.
  int mShardServers = 32; ///< Larger pools are split into shards.
  Duration mOtherZoneCost = Milliseconds(20);
  Duration mSentRequestCost =
    Milliseconds(2); ///< Per request since the report.
  Duration mReportedDelayLifetime = Milliseconds(1000);

  // Targets.
  Duration mFirstTokenTarget = Milliseconds(940);
  Duration mTokenTarget = Milliseconds(55); ///< Between two tokens.
  int mTokenMarginPercent = 2;

  // Queue and dispatch.
  int mLookahead = 16; ///< Queued requests considered per event.
  /// Longest time between placing a prefill and its predicted start.
  Duration mPrefillLead = Milliseconds(8);

  // Stragglers and failures.
  double mToleratedSlowness = 1.4; ///< Smaller ratios are ignored.
  double mStragglerThreshold =
    1.6; ///< Ratio from which a server is a straggler.
  Duration mSlownessHalfLife = Milliseconds(1000);
  Duration mProbeInterval = Milliseconds(1000);
  int mMaxEjectedPercent = 34; ///< Of decode or plain servers in a shard.
  Duration mFailureBackoff = Milliseconds(200); ///< Doubles per failure.
  Duration mFailureBackoffLimit = Milliseconds(5000);

  // Hints and reports.
  Duration mPrefixHintLifetime = Milliseconds(30000);
  Duration mReportLifetime = Milliseconds(4000);
  /// Load reports are used during this period.
  Duration mTakeoverPeriod = Milliseconds(5000);

  // Switches.
  bool mUseStragglerDetection = true;
  bool mUsePrefixHints = true;
  bool mUseFairness = true;
  bool mUseTargets = true;     ///< Prefers requests that can be in time.
  bool mUseBatchLimit = true;  ///< Limits batches by the token target.
  bool mUseLateBinding = true; ///< Queues in the scheduler, not at the engine.

  auto operator<=>(const SchedulingSettings&) const = default;
};

} // namespace heatherfork
