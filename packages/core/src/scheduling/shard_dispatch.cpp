#include "heatherfork/detail/scheduling/shard_scheduler.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// The retry delay is at most 1/kRetryDelayDivisor of the time to the deadline.
constexpr int kRetryDelayDivisor = 3;

// In-time placements during the wait of a request that show overload.
constexpr std::uint64_t kMinOvertaking = 4;

} // namespace

// Considers only the first requests of the queue, so that the cost per event
// does not grow with the queue length.
void
ShardScheduler::Dispatch(Context& aContext)
{
  if (mQueue.Size() == 0) {
    return;
  }
  DispatchIsolated(aContext);
  const SchedulingSettings& settings = SettingsOf(aContext);
  std::vector<WaitQueue::Key> keys;
  for (const auto& [key, request] : mQueue.All()) {
    if (keys.size() >= static_cast<std::size_t>(settings.mLookahead)) {
      break;
    }
    // Suspects that wait for each other must not keep out the requests behind
    // them.
    const bool isBlocked = request.mTargetAt > aContext.mNow &&
                           mSuspectRuns.MustWait(request.mPlace, aContext.mNow);
    if (!request.mPlace.mIsolate && !isBlocked) {
      keys.push_back(key);
    }
  }
  DispatchPass pass(
    mServers, mModel, mHints, settings, LimitShare(aContext), aContext.mNow);
  int ahead = 0;
  for (const WaitQueue::Key& key : keys) {
    const DispatchResult result = TryDispatch(aContext, pass, key, ahead);
    if (result == DispatchResult::kStaysQueued ||
        result == DispatchResult::kNoCapacity) {
      ++ahead;
    }
  }
}

ShardScheduler::DispatchResult
ShardScheduler::TryDispatch(Context& aContext,
                            DispatchPass& aPass,
                            const WaitQueue::Key& aKey,
                            int aRequestsAhead)
{
  const SchedulingSettings& settings = SettingsOf(aContext);
  const QueuedRequest& request = mQueue.All().at(aKey);
  if (mSuspectRuns.MustWait(request.mPlace, aContext.mNow)) {
    return WaitForSuspect(aContext, aKey, request);
  }
  const int pieces = PiecesNeeded(request.mPlace);
  const Choice choice = aPass.Find(request, aKey.mLane, pieces);
  const bool hasCapacity = choice.mServer != nullptr;
  const std::optional<LimitedWait> limited =
    hasCapacity ? std::nullopt : WaitForLimits(aContext, request.mPlace);
  const Duration wait = limited ? limited->For(aRequestsAhead)
                                : (aRequestsAhead + 1) * mReleaseInterval;
  const Instant firstTokenAt =
    hasCapacity
      ? choice.mFirstTokenAt
      : aContext.mNow + wait + mModel.Prefill(request.mPlace.mPromptTokens) +
          mModel.Transfer(request.mPlace.mPromptTokens) + mModel.FirstStep(1);
  const bool isLate = firstTokenAt > request.mTargetAt;
  const bool canStartBeforeTarget =
    hasCapacity && choice.mStartAt <= request.mTargetAt;
  const Duration left = request.mPlace.mDeadline - aContext.mNow;
  const bool isHopeless = limited && wait > left / 2 &&
                          request.mPlace.mTarget > Duration{} &&
                          !request.mIsUrgent;
  if (isHopeless ||
      (isLate && !canStartBeforeTarget && CanRefuseWithRetry(aKey, request))) {
    RefuseWithRetry(aContext, aKey, limited);
    return DispatchResult::kMovedOrRefused;
  }
  // Behind the requests that are in time, it would not get within the limits
  // again.
  const bool hasLimit =
    hasCapacity &&
    choice.mServer->Limiter().RateAt(aContext.mNow, 1).has_value();
  if (settings.mUseTargets && isLate && !hasLimit && TryDemote(aKey, request)) {
    return DispatchResult::kMovedOrRefused;
  }
  if (!hasCapacity) {
    return DispatchResult::kNoCapacity;
  }
  aPass.Claim(choice, pieces);
  if (settings.mUseLateBinding &&
      choice.mStartAt > aContext.mNow + settings.mPrefillLead) {
    return DispatchResult::kStaysQueued;
  }
  Commit(aContext, aKey, choice);
  return DispatchResult::kPlaced;
}

ShardScheduler::DispatchResult
ShardScheduler::WaitForSuspect(Context& aContext,
                               const WaitQueue::Key& aKey,
                               const QueuedRequest& aRequest)
{
  if (aRequest.mTargetAt <= aContext.mNow &&
      CanRefuseWithRetry(aKey, aRequest)) {
    RefuseWithRetry(aContext, aKey, std::nullopt);
    return DispatchResult::kMovedOrRefused;
  }
  return DispatchResult::kWaitsForSuspect;
}

// A refused caller retries once. An immediate refusal lets the retry arrive
// after the load peak, and frees the queue position meanwhile.
bool
ShardScheduler::CanRefuseWithRetry(const WaitQueue::Key& aKey,
                                   const QueuedRequest& aRequest) const
{
  return aKey.mLane == Lane::kInTime && aRequest.mPlace.mTarget > Duration{} &&
         !aRequest.mIsUrgent;
}

void
ShardScheduler::RefuseWithRetry(Context& aContext,
                                const WaitQueue::Key& aKey,
                                const std::optional<LimitedWait>& aLimited)
{
  const QueuedRequest request = mQueue.Take(aKey);
  const PlaceRequest& place = request.mPlace;
  const Duration left = place.mDeadline - aContext.mNow;
  const Duration wait =
    mRetryPacer.AssignDelay(aContext.mNow,
                            place.mContentFingerprint,
                            aLimited ? aLimited->mInterval : mReleaseInterval,
                            left / kRetryDelayDivisor);
  aContext.Send(request.mFrom,
                PlacementRefused{
                  place.mAttempt,
                  aLimited
                    ? Error{ ErrorCode::kServerLimit,
                             "expected a place within the limits that the "
                             "servers name, found none in time" }
                    : Error{ ErrorCode::kQueueFull,
                             "expected a place in time for the target, found "
                             "none" },
                  mId,
                  wait });
}

double
ShardScheduler::LimitShare(const Context& aContext)
{
  const bool isCurrent =
    aContext.mMembersNumber != 0 && mShareMembers == aContext.mMembersNumber;
  if (!mHasLimits || isCurrent) {
    return mLimitShare;
  }
  mShareMembers = aContext.mMembersNumber;
  const NodeId scheduler =
    SchedulerOf(Shard{ mId, mKey, nullptr, {} }, aContext.mMembers);
  const auto alive = std::count_if(
    aContext.mMembers.begin(), aContext.mMembers.end(), [](const Member& aOne) {
      return aOne.mStatus == MemberStatus::kAlive;
    });
  const bool isOwn =
    scheduler.mIncarnation == 0 || scheduler == aContext.mSettings.mSelf;
  mLimitShare = isOwn || alive == 0 ? 1 : 1 / static_cast<double>(alive);
  return mLimitShare;
}

std::optional<ShardScheduler::LimitedWait>
ShardScheduler::WaitForLimits(const Context& aContext,
                              const PlaceRequest& aPlace)
{
  if (aPlace.mKind == RequestKind::kPlainCall) {
    return WaitForLimits(aContext, aPlace, Role::kPlain);
  }
  const auto prefill = WaitForLimits(aContext, aPlace, Role::kPrefill);
  const auto decode = WaitForLimits(aContext, aPlace, Role::kDecode);
  if (!prefill || !decode) {
    return prefill ? prefill : decode;
  }
  return LimitedWait{ std::max(prefill->mUntilNext, decode->mUntilNext),
                      std::max(prefill->mInterval, decode->mInterval) };
}

std::optional<ShardScheduler::LimitedWait>
ShardScheduler::WaitForLimits(const Context& aContext,
                              const PlaceRequest& aPlace,
                              Role aRole)
{
  const double share = LimitShare(aContext);
  std::optional<Duration> untilNext;
  double sum = 0;
  for (const ServerStatePtr& state : mServers) {
    const BackendServer& server = state->Server();
    const auto& excluded = aPlace.mExcluded;
    if (server.mRole != aRole || server.mLeaving ||
        state->IsBlocked(aContext.mNow) ||
        std::find(excluded.begin(), excluded.end(), server.mName) !=
          excluded.end()) {
      continue;
    }
    const std::optional<double> rate =
      state->Limiter().RateAt(aContext.mNow, share);
    if (!rate) {
      return std::nullopt;
    }
    sum += *rate;
    const Duration next = state->Limiter().NextIn(aContext.mNow, share);
    untilNext = untilNext ? std::min(*untilNext, next) : next;
  }
  if (!untilNext || *untilNext == Duration{}) {
    return std::nullopt;
  }
  return LimitedWait{ *untilNext,
                      std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(1 / sum)) };
}

// Under overload, what becomes free goes to requests that can be in time. One
// that waits behind them is refused once half of its time is over, so that its
// caller need not wait for the deadline. Without such placements the capacity
// may only be away for a moment, and the request stays.
void
ShardScheduler::RefuseOvertaken(Context& aContext)
{
  std::vector<WaitQueue::Key> overtaken;
  for (const auto& [key, request] : mQueue.All()) {
    const PlaceRequest& place = request.mPlace;
    const Duration left = place.mDeadline - aContext.mNow;
    const Duration waited = aContext.mNow - request.mArrivedAt;
    if (key.mLane != Lane::kInTime && place.mTarget > Duration{} &&
        left <= waited &&
        mInTimePlacements - request.mPlacedBefore >= kMinOvertaking) {
      overtaken.push_back(key);
    }
  }
  for (const WaitQueue::Key& key : overtaken) {
    RefuseWithRetry(
      aContext, key, WaitForLimits(aContext, mQueue.All().at(key).mPlace));
  }
}

// A late request of an interactive class stays ahead of all deferrable ones. A
// late deferrable request yields to newer ones.
bool
ShardScheduler::TryDemote(const WaitQueue::Key& aKey,
                          const QueuedRequest& aRequest)
{
  const Lane lane =
    aRequest.mPlace.mMayWait ? Lane::kLateDeferred : Lane::kDeferred;
  const bool isUrgent = aRequest.mIsUrgent;
  if (aKey.mLane >= lane || isUrgent) {
    return false;
  }
  mQueue.Move(aKey, lane);
  return true;
}

void
ShardScheduler::DispatchIsolated(Context& aContext)
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
  QueuedRequest request = mQueue.Take(aKey);
  mInTimePlacements += aKey.mLane == Lane::kInTime ? 1 : 0;
  const int pieces = PiecesNeeded(request.mPlace);
  Placement placement(request.mFrom,
                      std::move(request.mPlace),
                      aChoice.mPrefill,
                      aChoice.mServer,
                      pieces,
                      aChoice.mCachedTokens);
  placement.Hold(aContext.mNow, aChoice.mWork);
  aChoice.mServer->RecordProbe(aContext.mNow);
  const double share = LimitShare(aContext);
  for (const ServerStatePtr& server : { aChoice.mPrefill, aChoice.mServer }) {
    if (server != nullptr) {
      server->Limiter().Take(aContext.mNow, share);
    }
  }
  aContext.Send(
    request.mFrom,
    placement.Reply(mId, PredictedDelay(aContext.mNow), aContext.mNow));
  mSuspectRuns.OnPlaced(placement.Request());
  mPlacements.emplace(aKey.mAttempt, std::move(placement));
}

// Bounds the delay of deferrable requests: a request is promoted once half of
// its time to the deadline has passed.
void
ShardScheduler::Promote(Instant aNow)
{
  std::vector<WaitQueue::Key> urgent;
  for (const auto& [key, request] : mQueue.All()) {
    const Duration left = request.mPlace.mDeadline - aNow;
    if (key.mLane == Lane::kLateDeferred && left < aNow - request.mArrivedAt) {
      urgent.push_back(key);
    }
  }
  for (const WaitQueue::Key& key : urgent) {
    mQueue.MakeUrgent(key);
  }
}

} // namespace heatherfork::detail
