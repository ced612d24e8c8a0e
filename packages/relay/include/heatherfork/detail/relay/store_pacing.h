#pragma once

#include <cstdint>
#include <random>

#include "heatherfork/time.h"

/// When a node asks the store, without I/O.
namespace heatherfork::relay {

/// How often the store is asked.
struct StorePace
{
  Duration mPause{};   ///< Between an answer and the next call.
  Duration mWait{};    ///< Of a watch, for news.
  Duration mTimeout{}; ///< Beyond what a call may wait.
  Duration mFresh{};   ///< News of a peer stand for an own call so long.
  Duration mRetry = Milliseconds(250); ///< After a failure; doubles.
  Duration mMostRetry = Milliseconds(1500);
};

/// The times of one reader's calls. Load: a fleet starts at once, or loses the
/// store; the calls must not grow with it. Where other nodes read for this
/// one, it asks only while it hears nothing from them.
class StorePacing
{
public:
  StorePacing(StorePace aPace, Instant aNow, std::uint64_t aSeed);

  void SetReadsForOthers(bool aReads) { mReadsForOthers = aReads; }

  /// Whether to call now. A reading that is under way goes on at once: news
  /// from others can't be applied to a part.
  bool IsDue(Instant aNow, bool aIsWhole) const;

  /// How long a watch should wait.
  Duration Wait() const;

  /// How long after its begin a call that may wait so long has failed.
  Duration Limit(Duration aWait) const { return aWait + mPace.mTimeout; }

  void OnPage(Instant aNow);
  void OnWatched(Instant aNow);
  void OnHistoryGone() { mNextAt = Instant{}; }
  void OnFailed(Instant aNow);

  /// A peer's news are as new as what is held.
  void OnTold(Instant aNow);

  /// Whether other nodes may be told: the store has answered for a while.
  bool MayTell(Instant aNow) const;

  /// When the newest news came, by a call or a peer.
  Instant ToldAt() const { return mToldAt; }
  int Failures() const { return mFailures; }

private:
  void OnAnswer(Instant aNow);

  StorePace mPace;
  std::mt19937_64 mRandom;
  bool mReadsForOthers = true;
  Instant mNextAt{};
  Instant mToldAt;
  Instant mAnsweringSince{}; ///< The store has answered this node's calls.
  int mFailures = 0;
};

} // namespace heatherfork::relay
