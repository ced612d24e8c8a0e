#include "heatherfork/detail/scheduling/suspect_runs.h"

namespace heatherfork::detail {

namespace {

// A report of the crash reaches all nodes within this time.
constexpr Duration kPauseAfterFailure = Milliseconds(250);

// A request waits for less, so none depends on an entry that is dropped.
constexpr Duration kLifetime = Milliseconds(60000);

} // namespace

void
SuspectRuns::OnAsked(const PlaceRequest& aPlace, Instant aNow)
{
  if (aPlace.mIsSuspect) {
    mSuspects[aPlace.mContentFingerprint].mSeenAt = aNow;
  }
}

void
SuspectRuns::OnPlaced(const PlaceRequest& aPlace)
{
  ++mRunning[aPlace.mContentFingerprint];
}

void
SuspectRuns::OnReleased(const PlaceRequest& aPlace)
{
  const auto it = mRunning.find(aPlace.mContentFingerprint);
  if (it != mRunning.end() && --it->second == 0) {
    mRunning.erase(it);
  }
}

void
SuspectRuns::OnEnded(const PlaceRequest& aPlace,
                     PlacementResult aResult,
                     Instant aNow)
{
  const auto it = mSuspects.find(aPlace.mContentFingerprint);
  if (it == mSuspects.end()) {
    return;
  }
  if (aResult == PlacementResult::kDone) {
    mSuspects.erase(it);
  } else if (aResult == PlacementResult::kServerFailed && aPlace.mIsSuspect) {
    it->second.mPausedUntil = aNow + kPauseAfterFailure;
  }
}

bool
SuspectRuns::MustWait(const PlaceRequest& aPlace, Instant aNow) const
{
  const auto it = mSuspects.find(aPlace.mContentFingerprint);
  return it != mSuspects.end() &&
         (aNow < it->second.mPausedUntil ||
          mRunning.contains(aPlace.mContentFingerprint));
}

void
SuspectRuns::Expire(Instant aNow)
{
  std::erase_if(mSuspects, [aNow](const auto& aItem) {
    return aNow - aItem.second.mSeenAt > kLifetime;
  });
}

} // namespace heatherfork::detail
