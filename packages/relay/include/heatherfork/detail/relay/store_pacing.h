#pragma once

#include <cstdint>
#include <random>

#include "heatherfork/time.h"

/// Schedules a node's calls to the store. Does no I/O.
namespace heatherfork::relay {

/// Intervals and timeouts of store calls.
struct StorePace
{
  /// Delay between an answer and the next watch.
  Duration mPause{};
  /// How long a watch waits for changes.
  Duration mWait{};
  /// How long an answer may take, in addition to a watch's wait.
  Duration mTimeout{};
  /// Least interval between updates of peers without a change.
  Duration mPeerUpdateInterval{};
  /// How long the node makes no calls after a peer's update.
  Duration mPeerUpdateLifetime{};
  /// Delay after a failure; doubles with each consecutive one.
  Duration mRetryDelay = Milliseconds(250);
  Duration mMaxRetryDelay = Milliseconds(1500);
};

/// Schedules the calls of one reader. The load on the store must not grow with
/// the number of nodes, also when all start at once or lose the store. A node
/// that does not read for others calls the store only while it gets no updates
/// from peers.
class StorePacing
{
public:
  StorePacing(StorePace aPace, Instant aNow, std::uint64_t aSeed);

  void SetReadsForOthers(bool aReads) { mReadsForOthers = aReads; }

  /// Sets whether updates from peers do not suffice.
  void SetNeedsConfirmation(bool aNeeds) { mNeedsConfirmation = aNeeds; }

  /// Whether to call now. A range read in progress continues without a pause,
  /// since updates from peers can't be applied to an incomplete copy.
  bool IsDue(Instant aNow, bool aIsComplete) const;

  /// How long the next watch waits for changes.
  Duration WatchWait() const;

  /// Timeout of a call that may wait aWait for changes.
  Duration CallTimeout(Duration aWait) const { return aWait + mPace.mTimeout; }

  /// Called for each page of a range, and after its last one.
  void OnPage(Instant aNow);
  void OnRangeRead(Instant aNow);

  void OnWatchAnswer(Instant aNow);

  /// Called when the copy must be read again though the store answers. The
  /// first time since a watch was answered, that is due at once.
  void OnRestart(Instant aNow);
  void OnFailed(Instant aNow);

  /// Called for an update from a peer that is not older than the local copy.
  void OnPeerUpdate(Instant aNow);

  /// Whether to send updates to peers: this node reads for others, and the
  /// store has answered for long enough.
  bool CanUpdatePeers(Instant aNow) const;

  /// Whether to send an update without a change; the last one was sent at
  /// aSentAt.
  bool IsPeerUpdateDue(Instant aNow, Instant aSentAt) const
  {
    return aNow - aSentAt >= mPace.mPeerUpdateInterval;
  }

  /// When the last answer of the store or update from a peer arrived.
  Instant LastUpdateAt() const { return mLastUpdateAt; }
  /// Failed calls since the copy was last confirmed.
  int Failures() const { return mFailures; }

private:
  void MarkAnswering(Instant aNow);

  /// The delay after a number of earlier failures in a row.
  Duration RetryDelay(int aEarlier);

  StorePace mPace;
  std::mt19937_64 mRandom;
  bool mReadsForOthers = true;
  bool mNeedsConfirmation = false;
  Instant mNextAt{};
  Instant mLastUpdateAt;
  Instant mAnsweringSince{}; ///< Start of the current run of successful calls.
  int mFailures = 0;
  int mRestarts = 0; ///< Since a watch was answered.
};

} // namespace heatherfork::relay
