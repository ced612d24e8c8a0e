#include "heatherfork/detail/relay/store_pacing.h"

#include <algorithm>

namespace heatherfork::relay {

namespace {

constexpr int kMaxDoublings = 8;

// Entries that expired during a store outage are written again within 2 s. A
// node waits longer than that before it sends updates, so that its peers do not
// drop entries that are only temporarily missing.
constexpr Duration kSettleTime = Milliseconds(2500);

} // namespace

StorePacing::StorePacing(StorePace aPace, Instant aNow, std::uint64_t aSeed)
  : mPace(aPace)
  , mRandom(aSeed)
  , mLastUpdateAt(aNow)
{
}

bool
StorePacing::IsDue(Instant aNow, bool aIsComplete) const
{
  const bool isUpdatedByPeers =
    !mReadsForOthers && !mNeedsConfirmation && aIsComplete &&
    aNow - mLastUpdateAt < mPace.mPeerUpdateLifetime;
  return aNow >= mNextAt && !isUpdatedByPeers;
}

// A node that does not read for others does not wait: it only checks for
// changes that it has missed.
Duration
StorePacing::WatchWait() const
{
  return mReadsForOthers ? mPace.mWait : Duration{};
}

void
StorePacing::MarkAnswering(Instant aNow)
{
  if (mAnsweringSince == Instant{}) {
    mAnsweringSince = aNow;
  }
}

// Does not end a run of failures: the next page may be refused again.
void
StorePacing::OnPage(Instant aNow)
{
  MarkAnswering(aNow);
  mNextAt = aNow;
}

void
StorePacing::OnRangeRead(Instant aNow)
{
  OnPage(aNow);
  OnPeerUpdate(aNow);
}

void
StorePacing::OnWatchAnswer(Instant aNow)
{
  MarkAnswering(aNow);
  OnPeerUpdate(aNow);
  mRestarts = 0;
  mNextAt = aNow + mPace.mPause;
}

void
StorePacing::OnPeerUpdate(Instant aNow)
{
  mLastUpdateAt = aNow;
  mFailures = 0;
}

Duration
StorePacing::RetryDelay(int aEarlier)
{
  const int doublings = std::min(aEarlier, kMaxDoublings);
  const Duration maxDelay =
    std::min(mPace.mRetryDelay * (1 << doublings), mPace.mMaxRetryDelay);
  // Half of the delay is random, so that nodes do not retry in lockstep.
  return maxDelay / 2 +
         Duration(static_cast<std::int64_t>(
           mRandom() % static_cast<std::uint64_t>(maxDelay.count() / 2 + 1)));
}

void
StorePacing::OnRestart(Instant aNow)
{
  mNextAt = mRestarts == 0 ? aNow : aNow + RetryDelay(mRestarts - 1);
  ++mRestarts;
}

void
StorePacing::OnFailed(Instant aNow)
{
  mAnsweringSince = Instant{};
  mNextAt = aNow + RetryDelay(mFailures);
  ++mFailures;
}

bool
StorePacing::CanUpdatePeers(Instant aNow) const
{
  return mReadsForOthers && mAnsweringSince != Instant{} &&
         aNow - mAnsweringSince > kSettleTime;
}

} // namespace heatherfork::relay
