#include <algorithm>

#include "heatherfork/detail/relay/pools.h"
#include "heatherfork/detail/relay/relay_log.h"

namespace heatherfork::detail {

namespace {

using Phase = OpenRequest::Phase;

// How long a scheduler that can't be reached is passed over; membership needs
// about as long to find out that it is gone.
constexpr Duration kAvoidTime = Milliseconds(3000);

// Schedulers tried for a request in place of one that can't be reached. After
// them this node places it by what it knows itself.
constexpr int kMaxFailovers = 1;

// A caller waits for at most a third of its remaining time after a refusal.
constexpr int kRetryAfterDivisor = 3;

// Quarters of the expected output for which KV cache is reserved. Outputs grow
// evenly during decode, so a replica's requests hold half of their outputs on
// average. The third quarter covers estimates that are too low, because a
// preempted request must be prefilled again.
constexpr int kReservedQuarters = 3;

int
ReservedTokens(const RelayRequest& aRequest)
{
  const int expected =
    aRequest.mExpectedTokens > 0
      ? std::min(aRequest.mExpectedTokens, aRequest.mMaxTokens)
      : aRequest.mMaxTokens;
  return expected * kReservedQuarters / 4;
}

// The replica of the current call.
const ServerName&
CurrentServer(const OpenRequest& aRequest)
{
  const Placed& placed = aRequest.mPlacement.mPlaced;
  return aRequest.mPhase == Phase::kPrefilling ? placed.mPrefill
                                               : placed.mServer;
}

Duration
RetryAfter(Duration aDelay, Duration aLeft)
{
  return std::clamp(
    aDelay,
    kMinRetryAfter,
    std::max(kMinRetryAfter, aLeft / kRetryAfterDivisor - kAnswerMargin));
}

} // namespace

PlaceRequest
RelayRequests::MakePlaceRequest(RelayContext& aContext,
                                const OpenRequest& aRequest,
                                const RelayPlacement& aPlacement)
{
  PlaceRequest place;
  place.mAttempt = aPlacement.mAttempt;
  place.mKind =
    aRequest.mIsEngine ? RequestKind::kCompletion : RequestKind::kPlainCall;
  place.mModel.mValue = aRequest.mService.mValue;
  place.mService = aRequest.mService;
  place.mWorkspace = aRequest.mWorkspace;
  place.mClass = ClassOfRank(aRequest.mRank);
  place.mPromptTokens = aRequest.mRequest.mPromptTokens;
  place.mMaxTokens = ReservedTokens(aRequest.mRequest);
  place.mExcluded = aRequest.mExcluded;
  for (ServerName& server : mBackoffs.All(aContext.Now())) {
    place.mExcluded.push_back(std::move(server));
  }
  const bool isSuccessor = aPlacement.mAttempt != aRequest.mPlacement.mAttempt;
  if (isSuccessor) {
    place.mExcluded.push_back(CurrentServer(aRequest));
  }
  place.mShard = aPlacement.mShard;
  place.mContentFingerprint =
    aPlacement.mSuspectIn.value_or(aRequest.mRequest.mFingerprint);
  place.mIsSuspect = aPlacement.mSuspectIn.has_value();
  const Duration waited = aContext.Now() - aRequest.mArrivedAt;
  place.mTimeLeft = TimeUntilAnswer(aContext, aRequest);
  place.mDeadline = aContext.Now() + place.mTimeLeft;
  place.mTarget = std::max(Milliseconds(1), aRequest.mRoute.mTarget - waited);
  return place;
}

// A stream is left when its next event, also the first one, takes too long.
Duration
RelayRequests::TimeUntilAnswer(const RelayContext& aContext,
                               const OpenRequest& aRequest) const
{
  Instant until = aRequest.mExpiresAt;
  const Duration patience = aRequest.mRoute.mStreamPatience;
  if (aRequest.mRoute.mIsStream && patience > Duration{}) {
    until = std::min(until, aRequest.mLastEventAt + patience);
  }
  if (aContext.mLatestAnswer) {
    until = std::min(until, *aContext.mLatestAnswer);
  }
  return until - aContext.Now();
}

void
RelayRequests::Place(RelayContext& aContext,
                     OpenRequest& aRequest,
                     bool aIsLocal)
{
  aRequest.mPhase = Phase::kPlacing;
  if (const auto backoff = BackoffFor(aContext, aRequest)) {
    RefuseUntilBackoffEnds(aContext, aRequest, *backoff);
    return;
  }
  if (!SendPlaceRequest(aContext, aRequest, aRequest.mPlacement, aIsLocal)) {
    const std::string message = "no replica of service \"" +
                                aRequest.mService.mValue +
                                "\" can be asked for";
    GiveUp(aContext,
           aRequest,
           { ErrorCode::kNoBackendServer, message },
           kMinRetryAfter,
           { ErrorCode::kOutcomeUnknown, message });
  }
}

bool
RelayRequests::SendPlaceRequest(RelayContext& aContext,
                                const OpenRequest& aRequest,
                                RelayPlacement& aPlacement,
                                bool aIsLocal)
{
  mCallerByAttempt.erase(aPlacement.mAttempt);
  const NodeId& self = aContext.mShared.mSettings.mSelf;
  aPlacement = RelayPlacement{};
  aPlacement.mAttempt = { self.mIncarnation, ++mLastAttempt };
  aPlacement.mSentAt = aContext.Now();
  aPlacement.mSuspectIn = mContentGuard.SuspectIn(aContext, aRequest.mRequest);
  mCallerByAttempt[aPlacement.mAttempt] = aRequest.mCaller;
  PlaceRequest place = MakePlaceRequest(aContext, aRequest, aPlacement);
  aPlacement.mScheduler = mShards.SchedulerFor(aContext.mShared, place);
  aPlacement.mShard = place.mShard;
  if (aPlacement.mScheduler.mIncarnation == 0) {
    return false;
  }
  if (aIsLocal && !aPlacement.mSuspectIn) {
    aPlacement.mScheduler = self;
  }
  mSchedulerUsedAt[aPlacement.mScheduler] = aContext.Now();
  // Before the request, so that a new scheduler knows the limits first.
  mLimits.Report(aContext, aPlacement.mScheduler);
  aContext.mShared.Send(aPlacement.mScheduler, std::move(place));
  return true;
}

// A running request is reported to the new scheduler. The old one counts it
// until the next list of held placements; otherwise it would fill that capacity
// from its queue. An unplaced request moves at once, so that two schedulers
// never place into the same capacity.
void
RelayRequests::UpdateSchedulers(RelayContext& aContext)
{
  std::set<NodeId> newSchedulers;
  std::vector<CallerId> unplaced;
  for (auto& [caller, request] : mOpen) {
    if (request.mSuccessor &&
        request.mSuccessor->mScheduler !=
          mShards.SchedulerOf(aContext.mShared, request.mSuccessor->mShard)) {
      DropSuccessor(aContext, request);
    }
    if (request.mPhase != Phase::kPlacing &&
        request.mPlacement.mPlaced.mServer.Empty()) {
      continue;
    }
    const bool isUnplaced = request.mPhase == Phase::kPlacing;
    PlaceRequest place =
      MakePlaceRequest(aContext, request, request.mPlacement);
    const NodeId responsible =
      isUnplaced
        ? mShards.SchedulerOf(aContext.mShared, request.mPlacement.mShard)
        : mShards.SchedulerForServer(
            aContext.mShared, place, request.mPlacement.mPlaced.mServer);
    if (responsible == request.mPlacement.mScheduler ||
        (responsible.mIncarnation == 0 && !isUnplaced)) {
      continue;
    }
    if (isUnplaced) {
      unplaced.push_back(caller);
      continue;
    }
    request.mPlacement.mShard = place.mShard;
    request.mPlacement.mScheduler = responsible;
    mSchedulerUsedAt[responsible] = aContext.Now();
    newSchedulers.insert(responsible);
  }
  for (const NodeId& scheduler : newSchedulers) {
    SendHeldPlacements(aContext, scheduler);
  }
  Reschedule(aContext, unplaced, "scheduler-moved", false);
}

void
RelayRequests::SendHeldPlacements(RelayContext& aContext,
                                  const NodeId& aScheduler)
{
  PlacementsKept held;
  for (const auto& [caller, request] : mOpen) {
    if (request.mPlacement.mScheduler == aScheduler &&
        request.mPhase != Phase::kPlacing) {
      held.mKept.push_back(
        { MakePlaceRequest(aContext, request, request.mPlacement),
          request.mPlacement.mPlaced.mServer });
    }
  }
  aContext.mShared.Send(aScheduler, std::move(held));
}

// The first loss may be that of a stale connection to a live node. A second
// loss soon after it means that the node is unreachable: another message would
// fail at once, again and again until the node is declared dead.
void
RelayRequests::OnConnectionLost(RelayContext& aContext, const NodeId& aNode)
{
  if (!mSchedulerUsedAt.contains(aNode)) {
    return;
  }
  const Duration placementTimeout =
    aContext.mShared.mSettings.mPolicy.mPlacementTimeout;
  const auto [it, isFirst] =
    mConnectionLostAt.try_emplace(aNode, aContext.Now());
  const bool isReachable =
    isFirst || aContext.Now() - it->second > placementTimeout;
  it->second = aContext.Now();
  DropSuccessorsOf(aContext, aNode);
  std::vector<CallerId> unplaced;
  for (auto& [caller, request] : mOpen) {
    if (request.mPlacement.mScheduler != aNode ||
        request.mPhase != Phase::kPlacing) {
      continue;
    }
    if (isReachable) {
      // The attempt is unchanged: a scheduler that knows it repeats its reply.
      aContext.mShared.Send(
        aNode, MakePlaceRequest(aContext, request, request.mPlacement));
    } else {
      unplaced.push_back(caller);
    }
  }
  if (isReachable) {
    SendHeldPlacements(aContext, aNode);
  }
  if (!isReachable) {
    mShards.Avoid(aNode, aContext.Now() + kAvoidTime);
    PlaceElsewhere(aContext, unplaced, "scheduler-unreachable");
    UpdateSchedulers(aContext);
  }
}

void
RelayRequests::PlaceElsewhere(RelayContext& aContext,
                              const std::vector<CallerId>& aCallers,
                              const char* aLogEvent)
{
  for (const CallerId caller : aCallers) {
    if (OpenRequest* request = Find(caller)) {
      LogRequestEvent(aContext,
                      aLogEvent,
                      *request,
                      "node=" + request->mPlacement.mScheduler.mName.mValue);
      Place(aContext, *request, ++request->mFailovers > kMaxFailovers);
    }
  }
}

void
RelayRequests::Reschedule(RelayContext& aContext,
                          const std::vector<CallerId>& aCallers,
                          const char* aLogEvent,
                          bool aIsLocal)
{
  for (const CallerId caller : aCallers) {
    if (OpenRequest* request = Find(caller)) {
      LogRequestEvent(aContext,
                      aLogEvent,
                      *request,
                      "node=" + request->mPlacement.mScheduler.mName.mValue);
      EndPlacement(aContext, *request, PlacementResult::kAbandoned, {}, 0);
      Place(aContext, *request, aIsLocal);
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
  if (aRequest.mPlacement.mScheduler.mIncarnation == 0) {
    return;
  }
  const Duration took = aContext.Now() - aRequest.mCallStartedAt;
  aContext.mShared.Send(
    aRequest.mPlacement.mScheduler,
    PlacementEnded{
      aRequest.mPlacement.mAttempt, aResult, aFailed, took, aTokens });
  mCallerByAttempt.erase(aRequest.mPlacement.mAttempt);
  aRequest.mPlacement.mScheduler = NodeId{};
}

void
RelayRequests::ReportProgress(RelayContext& aContext,
                              OpenRequest& aRequest,
                              PlacementStep aStep)
{
  const Duration took = aContext.Now() - aRequest.mCallStartedAt;
  aContext.mShared.Send(
    aRequest.mPlacement.mScheduler,
    PlacementProgress{ aRequest.mPlacement.mAttempt, aStep, took, 0 });
}

void
RelayRequests::On(RelayContext& aContext, const PlacementQueued& aQueued)
{
  OpenRequest* request = FindByAttempt(aQueued.mAttempt);
  if (request != nullptr && request->mSuccessor &&
      request->mSuccessor->mAttempt == aQueued.mAttempt) {
    request->mSuccessor->mIsQueued = true;
    return;
  }
  if (request != nullptr && request->mPhase == Phase::kPlacing) {
    request->mPlacement.mIsQueued = true;
    LogRequestEvent(aContext,
                    "queued",
                    *request,
                    "scheduler=" + request->mPlacement.mScheduler.mName.mValue);
  }
}

void
RelayRequests::On(RelayContext& aContext, const PlacementRefused& aRefused)
{
  mShards.On(aContext.mShared, aRefused);
  OpenRequest* request = FindByAttempt(aRefused.mAttempt);
  if (request != nullptr && request->mSuccessor &&
      request->mSuccessor->mAttempt == aRefused.mAttempt) {
    LogRequestEvent(aContext,
                    "call-kept",
                    *request,
                    "reason=" + Quoted(aRefused.mError.mMessage));
    DropSuccessor(aContext, *request);
    return;
  }
  if (request == nullptr || request->mPhase != Phase::kPlacing) {
    return;
  }
  request->mPlacement.mScheduler = NodeId{};
  if (request->mHasSentEvents) {
    AbortStream(
      aContext, *request, "reason=\"no replica to resume the stream\"");
    return;
  }
  const bool mayHaveRun = request->mPossibleRuns > 0;
  if (aContext.mLatestAnswer && !mayHaveRun) {
    // Other nodes have more time.
    GiveUpLeaving(aContext, *request);
    return;
  }
  Refuse(aContext,
         *request,
         mayHaveRun ? Error{ ErrorCode::kOutcomeUnknown,
                             "no place for another attempt: " +
                               aRefused.mError.mMessage }
                    : Error{ aRefused.mError.mCode == ErrorCode::kServerLimit
                               ? ErrorCode::kServerLimit
                               : ErrorCode::kBackendServerBusy,
                             aRefused.mError.mMessage },
         mayHaveRun
           ? Duration{}
           : RetryAfter(aRefused.mDelay, request->mExpiresAt - aContext.Now()));
}

void
RelayRequests::On(RelayContext& aContext, const Placed& aPlaced)
{
  mShards.On(aContext.mShared, aPlaced);
  OpenRequest* request = FindByAttempt(aPlaced.mAttempt);
  if (request != nullptr && request->mSuccessor &&
      request->mSuccessor->mAttempt == aPlaced.mAttempt) {
    OnSuccessorPlaced(aContext, *request, aPlaced);
    return;
  }
  if (request == nullptr || request->mPhase != Phase::kPlacing) {
    return;
  }
  request->mPlacement.mPlaced = aPlaced;
  if (RefuseCrashingContent(aContext, *request)) {
    return;
  }
  if (IsUnknownSuspect(aContext, *request, request->mPlacement)) {
    Reschedule(aContext, { request->mCaller }, "suspect", false);
    return;
  }
  StartFirstStage(aContext, *request);
}

void
RelayRequests::OnNodeGone(RelayContext& aContext, const NodeId& aNode)
{
  DropSuccessorsOf(aContext, aNode);
  mLimits.OnNodeGone(aNode);
  std::vector<CallerId> unplaced;
  for (auto& [caller, request] : mOpen) {
    if (request.mPlacement.mScheduler != aNode) {
      continue;
    }
    if (request.mPhase == Phase::kPlacing) {
      unplaced.push_back(caller);
    } else {
      request.mPlacement.mScheduler = NodeId{};
    }
  }
  PlaceElsewhere(aContext, unplaced, "scheduler-lost");
}

} // namespace heatherfork::detail
