#include <algorithm>

#include "heatherfork/detail/relay/pools.h"
#include "heatherfork/detail/relay/relay_notes.h"

namespace heatherfork::detail {

namespace {

using Phase = OpenRequest::Phase;

// Callers leave a stream after this much silence, or a multiple of its
// objectives if that is longer.
constexpr Duration kLeastPatience = Milliseconds(2000);
constexpr int kTargetsOfPatience = 4;
constexpr int kGapsOfPatience = 8;

// The part of its time that a caller would wait at most after a refusal.
constexpr int kPartOfTimeLeft = 3;

Duration
Patience(const Route& aRoute)
{
  return std::max({ kLeastPatience,
                    aRoute.mTarget * kTargetsOfPatience,
                    aRoute.mGapTarget * kGapsOfPatience });
}

// Quarters of the likely output for which memory is set aside. Outputs grow
// evenly while they are decoded, so that a replica's requests hold half of
// theirs on average; the rest is for guesses that are too low, as a preempted
// request is read again.
constexpr int kReservedQuarters = 3;

int
ReservedTokens(const RelayRequest& aRequest)
{
  const int likely = aRequest.mLikelyTokens > 0
                       ? std::min(aRequest.mLikelyTokens, aRequest.mMaxTokens)
                       : aRequest.mMaxTokens;
  return likely * kReservedQuarters / 4;
}

Duration
RetryAfter(Duration aDelay, Duration aLeft)
{
  return std::clamp(
    aDelay,
    kLeastRetryAfter,
    std::max(kLeastRetryAfter, aLeft / kPartOfTimeLeft - kAnswerMargin));
}

} // namespace

PlaceRequest
RelayRequests::MakePlace(RelayContext& aContext, const OpenRequest& aRequest)
{
  PlaceRequest place;
  place.mAttempt = aRequest.mAttempt;
  place.mKind =
    aRequest.mIsEngine ? RequestKind::kCompletion : RequestKind::kPlainCall;
  place.mModel.mValue = aRequest.mService.mValue;
  place.mService = aRequest.mService;
  place.mClass = ClassOfRank(aRequest.mRoute.mRank);
  place.mPromptTokens = aRequest.mRequest.mPromptTokens;
  place.mMaxTokens = ReservedTokens(aRequest.mRequest);
  place.mExcluded = aRequest.mExcluded;
  place.mShard = aRequest.mShard;
  place.mContent = aRequest.mRequest.mFingerprint;
  // What has been sent once is not sent back for want of a place in time.
  place.mMayWait = aRequest.mCalls > 0;
  const Duration waited = aContext.Now() - aRequest.mArrivedAt;
  place.mTimeLeft = aRequest.mDue - aContext.Now();
  if (aRequest.mRoute.mIsStream && !aRequest.mHasBegun) {
    place.mTimeLeft =
      std::min(place.mTimeLeft, Patience(aRequest.mRoute) - waited);
  }
  place.mDeadline = aContext.Now() + place.mTimeLeft;
  place.mTarget = std::max(Milliseconds(1), aRequest.mRoute.mTarget - waited);
  return place;
}

void
RelayRequests::Place(RelayContext& aContext, OpenRequest& aRequest, bool aHere)
{
  mByAttempt.erase(aRequest.mAttempt);
  const NodeId& self = aContext.mShared.mSettings.mSelf;
  aRequest.mAttempt = { self.mIncarnation, ++mLastAttempt };
  mByAttempt[aRequest.mAttempt] = aRequest.mCaller;
  aRequest.mPhase = Phase::kPlacing;
  aRequest.mIsQueued = false;
  aRequest.mPlaced = Placed{};
  aRequest.mAskedAt = aContext.Now();
  PlaceRequest place = MakePlace(aContext, aRequest);
  aRequest.mScheduler = mShards.SchedulerFor(aContext.mShared, place);
  aRequest.mShard = place.mShard;
  if (aRequest.mScheduler.mIncarnation == 0) {
    Refuse(
      aContext,
      aRequest,
      { ErrorCode::kNoBackendServer,
        "no replica of service \"" + aRequest.mService.mValue + "\" is known" },
      kLeastRetryAfter);
    return;
  }
  if (aHere) {
    aRequest.mScheduler = self;
  }
  mSchedulers[aRequest.mScheduler] = aContext.Now();
  aContext.mShared.Send(aRequest.mScheduler, std::move(place));
}

// What runs is told to the new scheduler; the old one goes on counting it until
// the next list of what it holds, lest it fill the room with its queue. What
// waits changes over at once: two schedulers never place in the same room.
void
RelayRequests::TellSchedulers(RelayContext& aContext)
{
  std::set<NodeId> changed;
  std::vector<CallerId> waiting;
  for (auto& [caller, request] : mOpen) {
    if (request.mPhase != Phase::kPlacing && request.mPlaced.mServer.Empty()) {
      continue;
    }
    const bool isWaiting = request.mPhase == Phase::kPlacing;
    PlaceRequest place = MakePlace(aContext, request);
    const NodeId now = isWaiting
                         ? mShards.SchedulerOf(aContext.mShared, request.mShard)
                         : mShards.SchedulerHolding(
                             aContext.mShared, place, request.mPlaced.mServer);
    if (now == request.mScheduler || (now.mIncarnation == 0 && !isWaiting)) {
      continue;
    }
    if (isWaiting) {
      waiting.push_back(caller);
      continue;
    }
    request.mShard = place.mShard;
    request.mScheduler = now;
    mSchedulers[now] = aContext.Now();
    changed.insert(now);
  }
  for (const NodeId& scheduler : changed) {
    TellHeld(aContext, scheduler);
  }
  Move(aContext, waiting, "scheduler-moved", false);
}

void
RelayRequests::TellHeld(RelayContext& aContext, const NodeId& aScheduler)
{
  PlacementsKept held;
  for (const auto& [caller, request] : mOpen) {
    if (request.mScheduler == aScheduler && request.mPhase != Phase::kPlacing) {
      held.mKept.push_back(
        { MakePlace(aContext, request), request.mPlaced.mServer });
    }
  }
  aContext.mShared.Send(aScheduler, std::move(held));
}

// A first break may be that of an old connection to a node that lives. A
// second one soon after it comes from a node that can't be reached: sending
// once more would only break again, at once, until the node is found dead.
void
RelayRequests::OnLinkBroken(RelayContext& aContext, const NodeId& aNode)
{
  if (!mSchedulers.contains(aNode)) {
    return;
  }
  const Duration patience =
    aContext.mShared.mSettings.mPolicy.mPlacementTimeout;
  const auto [it, isFirst] = mBrokenAt.try_emplace(aNode, aContext.Now());
  const bool isReachable = isFirst || aContext.Now() - it->second > patience;
  it->second = aContext.Now();
  std::vector<CallerId> unplaced;
  for (auto& [caller, request] : mOpen) {
    if (request.mScheduler != aNode || request.mPhase != Phase::kPlacing) {
      continue;
    }
    if (isReachable) {
      // The same attempt: a scheduler that has it repeats its reply.
      aContext.mShared.Send(aNode, MakePlace(aContext, request));
    } else {
      unplaced.push_back(caller);
    }
  }
  if (isReachable) {
    TellHeld(aContext, aNode);
  }
  PlaceHere(aContext, unplaced, "scheduler-unreachable");
}

void
RelayRequests::PlaceHere(RelayContext& aContext,
                         const std::vector<CallerId>& aCallers,
                         const char* aWhy)
{
  for (const CallerId caller : aCallers) {
    if (OpenRequest* request = Find(caller)) {
      Note(
        aContext, aWhy, *request, "node=" + request->mScheduler.mName.mValue);
      Place(aContext, *request, true);
    }
  }
}

void
RelayRequests::Move(RelayContext& aContext,
                    const std::vector<CallerId>& aCallers,
                    const char* aWhy,
                    bool aHere)
{
  for (const CallerId caller : aCallers) {
    if (OpenRequest* request = Find(caller)) {
      Note(
        aContext, aWhy, *request, "node=" + request->mScheduler.mName.mValue);
      EndPlacement(aContext, *request, PlacementResult::kAbandoned, {}, 0);
      Place(aContext, *request, aHere);
    }
  }
}

void
RelayRequests::EndPlacement(RelayContext& aContext,
                            OpenRequest& aRequest,
                            PlacementResult aResult,
                            const ServerName& aFailed,
                            int aTokens)
{
  if (aRequest.mScheduler.mIncarnation == 0) {
    return;
  }
  const Duration took = aContext.Now() - aRequest.mCallStartedAt;
  aContext.mShared.Send(
    aRequest.mScheduler,
    PlacementEnded{ aRequest.mAttempt, aResult, aFailed, took, aTokens });
  mByAttempt.erase(aRequest.mAttempt);
  aRequest.mScheduler = NodeId{};
}

void
RelayRequests::Progress(RelayContext& aContext,
                        OpenRequest& aRequest,
                        PlacementStep aStep)
{
  const Duration took = aContext.Now() - aRequest.mCallStartedAt;
  aContext.mShared.Send(aRequest.mScheduler,
                        PlacementProgress{ aRequest.mAttempt, aStep, took, 0 });
}

void
RelayRequests::On(RelayContext& aContext, const PlacementQueued& aQueued)
{
  OpenRequest* request = FindByAttempt(aQueued.mAttempt);
  if (request != nullptr && request->mPhase == Phase::kPlacing) {
    request->mIsQueued = true;
    Note(aContext,
         "queued",
         *request,
         "scheduler=" + request->mScheduler.mName.mValue);
  }
}

void
RelayRequests::On(RelayContext& aContext, const PlacementRefused& aRefused)
{
  mShards.On(aContext.mShared, aRefused);
  OpenRequest* request = FindByAttempt(aRefused.mAttempt);
  if (request == nullptr || request->mPhase != Phase::kPlacing) {
    return;
  }
  request->mScheduler = NodeId{};
  if (request->mHasBegun) {
    Break(aContext, *request, "reason=\"no place to go on\"");
    return;
  }
  const bool mayHaveRun = request->mRuns > 0;
  Refuse(
    aContext,
    *request,
    mayHaveRun
      ? Error{ ErrorCode::kOutcomeUnknown,
               "no place for another attempt: " + aRefused.mError.mMessage }
      : Error{ ErrorCode::kBackendServerBusy, aRefused.mError.mMessage },
    mayHaveRun ? Duration{}
               : RetryAfter(aRefused.mDelay, request->mDue - aContext.Now()));
}

void
RelayRequests::On(RelayContext& aContext, const Placed& aPlaced)
{
  mShards.On(aContext.mShared, aPlaced);
  OpenRequest* request = FindByAttempt(aPlaced.mAttempt);
  if (request == nullptr || request->mPhase != Phase::kPlacing) {
    return;
  }
  request->mPlaced = aPlaced;
  StartPlaced(aContext, *request);
}

void
RelayRequests::OnNodeLost(RelayContext& aContext, const NodeId& aNode)
{
  std::vector<CallerId> placing;
  for (auto& [caller, request] : mOpen) {
    if (request.mScheduler != aNode) {
      continue;
    }
    if (request.mPhase == Phase::kPlacing) {
      placing.push_back(caller);
    } else {
      request.mScheduler = NodeId{};
    }
  }
  PlaceHere(aContext, placing, "scheduler-lost");
}

} // namespace heatherfork::detail
