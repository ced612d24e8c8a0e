#include "heatherfork/detail/scheduling/shard_scheduler.h"

namespace heatherfork::detail {

namespace {

// A caller waits at most this part of its time before it comes back.
constexpr int kPartOfTimeLeft = 3;

} // namespace

// Looks at the first requests of the queue only, so that the cost of an event
// does not grow with the queue.
void
ShardScheduler::Dispatch(Context& aContext)
{
  if (mQueue.Size() == 0) {
    return;
  }
  Isolate(aContext);
  const SchedulingSettings& settings = SettingsOf(aContext);
  std::vector<WaitQueue::Key> keys;
  for (const auto& [key, waiting] : mQueue.All()) {
    if (keys.size() >= static_cast<std::size_t>(settings.mLookahead)) {
      break;
    }
    if (!waiting.mPlace.mIsolate) {
      keys.push_back(key);
    }
  }
  DispatchPass pass(mServers, mModel, mHints, settings, aContext.mNow);
  int ahead = 0;
  for (const WaitQueue::Key& key : keys) {
    const Tried tried = Try(aContext, pass, key, ahead);
    if (tried == Tried::kKept || tried == Tried::kNoRoom) {
      ++ahead;
    }
  }
}

ShardScheduler::Tried
ShardScheduler::Try(Context& aContext,
                    DispatchPass& aPass,
                    const WaitQueue::Key& aKey,
                    int aAhead)
{
  const SchedulingSettings& settings = SettingsOf(aContext);
  const Waiting& waiting = mQueue.All().at(aKey);
  const int pieces = Pieces(waiting.mPlace);
  const Choice choice = aPass.Find(waiting, aKey.mLane, pieces);
  const bool hasRoom = choice.mServer != nullptr;
  const Instant firstTokenAt =
    hasRoom
      ? choice.mFirstTokenAt
      : aContext.mNow + (aAhead + 1) * mReleaseInterval +
          mModel.Prefill(waiting.mPlace.mPromptTokens) +
          mModel.Transfer(waiting.mPlace.mPromptTokens) + mModel.FirstStep(1);
  const bool isLate = firstTokenAt > waiting.mTargetAt;
  const bool hasStart = hasRoom && choice.mStartAt <= waiting.mTargetAt;
  if (isLate && !hasStart && MayBeSentBack(aKey, waiting)) {
    SendBack(aContext, aKey);
    return Tried::kMoved;
  }
  if (settings.mUseTargets && isLate && IsDemoted(aKey, waiting)) {
    return Tried::kMoved;
  }
  if (!hasRoom) {
    return Tried::kNoRoom;
  }
  aPass.Claim(choice, pieces);
  if (settings.mUseLateBinding &&
      choice.mStartAt > aContext.mNow + settings.mPrefillLead) {
    return Tried::kKept;
  }
  Commit(aContext, aKey, choice);
  return Tried::kPlaced;
}

// A caller that comes back once is better told so at once than held: it meets
// the room that is left after the crest, and holds nothing up until then.
bool
ShardScheduler::MayBeSentBack(const WaitQueue::Key& aKey,
                              const Waiting& aWaiting) const
{
  return aKey.mLane == Lane::kInTime && aWaiting.mPlace.mTarget > Duration{};
}

void
ShardScheduler::SendBack(Context& aContext, const WaitQueue::Key& aKey)
{
  const Waiting waiting = mQueue.Take(aKey);
  const PlaceRequest& place = waiting.mPlace;
  const Duration left = place.mDeadline - aContext.mNow;
  const Duration wait = mReturns.Promise(
    aContext.mNow, place.mContent, mReleaseInterval, left / kPartOfTimeLeft);
  aContext.Send(waiting.mFrom,
                PlacementRefused{ place.mAttempt,
                                  Error{ ErrorCode::kQueueFull,
                                         "expected a place in time for the "
                                         "target, found none" },
                                  mId,
                                  wait });
}

// A late request of a class that may not wait stays ahead of all that may:
// someone is waiting for it. One that may wait makes room for newer ones.
bool
ShardScheduler::IsDemoted(const WaitQueue::Key& aKey, const Waiting& aWaiting)
{
  const Lane lane = aWaiting.mPlace.mMayWait ? Lane::kLate : Lane::kWaiting;
  const bool isUrgent = aWaiting.mIsUrgent;
  if (aKey.mLane >= lane || isUrgent) {
    return false;
  }
  mQueue.Move(aKey, lane);
  return true;
}

void
ShardScheduler::Isolate(Context& aContext)
{
  const WaitQueue::Key* first = mQueue.FirstIsolated();
  if (first == nullptr) {
    return;
  }
  const WaitQueue::Key key = *first;
  const PlaceRequest& place = mQueue.All().at(key).mPlace;
  if (!mIsolation.Begin(mServers, place) || !mIsolation.IsReady(key.mAttempt)) {
    return;
  }
  Choice choice;
  choice.mPrefill = mIsolation.Prefill();
  choice.mServer = mIsolation.Server();
  choice.mWork = mModel.Prefill(place.mPromptTokens);
  Commit(aContext, key, choice);
}

void
ShardScheduler::Commit(Context& aContext,
                       const WaitQueue::Key& aKey,
                       const Choice& aChoice)
{
  Waiting waiting = mQueue.Take(aKey);
  const int pieces = Pieces(waiting.mPlace);
  Placement placement(waiting.mFrom,
                      std::move(waiting.mPlace),
                      aChoice.mPrefill,
                      aChoice.mServer,
                      pieces,
                      aChoice.mCachedTokens);
  placement.Hold(aContext.mNow, aChoice.mWork);
  aChoice.mServer->NoteProbe(aContext.mNow);
  aContext.Send(waiting.mFrom, placement.Reply(mId, Delay(aContext.mNow)));
  mPlacements.emplace(aKey.mAttempt, std::move(placement));
}

// Nothing that may wait is put off for ever: half of its time is enough.
void
ShardScheduler::Promote(Instant aNow)
{
  std::vector<WaitQueue::Key> urgent;
  for (const auto& [key, waiting] : mQueue.All()) {
    const Duration left = waiting.mPlace.mDeadline - aNow;
    if (key.mLane == Lane::kLate && left < aNow - waiting.mArrivedAt) {
      urgent.push_back(key);
    }
  }
  for (const WaitQueue::Key& key : urgent) {
    mQueue.MakeUrgent(key);
  }
}

} // namespace heatherfork::detail
