#include "heatherfork/detail/relay/relay_log.h"

#include "heatherfork/detail/relay/log_value.h"

namespace heatherfork::detail {

namespace {

using Phase = OpenRequest::Phase;

// Counted calls after which a request is not retried: more would spend the
// retry budget of other requests.
constexpr int kMaxCountedCalls = 3;

std::string_view
NameOf(RelayResult aResult)
{
  switch (aResult) {
    case RelayResult::kDone:
      return "done";
    case RelayResult::kRanFailed:
      return "ran-failed";
    case RelayResult::kNotRun:
      return "not-run";
    case RelayResult::kWrongReplica:
      return "wrong-place";
    case RelayResult::kNotSent:
      return "not-sent";
    case RelayResult::kBroken:
      return "broken";
  }
  return "";
}

std::string_view
NameOf(RelayStage aStage)
{
  switch (aStage) {
    case RelayStage::kFullRequest:
      return "whole";
    case RelayStage::kPrefill:
      return "prefill";
    case RelayStage::kDecode:
      return "decode";
  }
  return "";
}

} // namespace

void
RelayRequests::StartFirstStage(RelayContext& aContext, OpenRequest& aRequest)
{
  const Placed placed = aRequest.mPlacement.mPlaced;
  for (const ServerName& name : { placed.mPrefill, placed.mServer }) {
    const Replica* replica = FindReplica(aContext.mReplicas, name);
    if (!name.Empty() && IsBackedOff(aContext, name)) {
      EndPlacement(aContext, aRequest, PlacementResult::kAbandoned, {}, 0);
      Place(aContext, aRequest, false);
      return;
    }
    if (name.Empty() || (replica != nullptr && !replica->mLeaving)) {
      continue;
    }
    // This node has newer information on the replica than the scheduler.
    EndPlacement(aContext, aRequest, PlacementResult::kServerFailed, name, 0);
    aRequest.mExcluded.push_back(name);
    Place(aContext, aRequest, true);
    return;
  }
  const bool needsPrefill = !placed.mPrefill.Empty();
  StartStage(aContext,
             aRequest,
             needsPrefill ? RelayStage::kPrefill : RelayStage::kFullRequest,
             needsPrefill ? placed.mPrefill : placed.mServer);
}

void
RelayRequests::StartStage(RelayContext& aContext,
                          OpenRequest& aRequest,
                          RelayStage aStage,
                          const ServerName& aServer)
{
  const Replica* replica = FindReplica(aContext.mReplicas, aServer);
  if (replica == nullptr) {
    RelayCallEnded ended;
    ended.mCall = { aRequest.mCaller, aRequest.mCalls };
    ended.mResult = RelayResult::kNotSent;
    OnNotRun(aContext, aRequest, ended);
    return;
  }
  if (!ConfirmKey(aContext, aRequest)) {
    return;
  }
  const Route& route = aRequest.mRoute;
  StartCall call;
  call.mCall = { aRequest.mCaller, ++aRequest.mCalls };
  call.mStage = aStage;
  call.mServer = aServer;
  call.mAddress = replica->mAddress;
  aRequest.mCalledReplica = *replica;
  call.mDeadline = aRequest.mExpiresAt;
  call.mHasWorkspaces = aRequest.mHasWorkspaces;
  call.mWorkspace = aRequest.mWorkspace;
  call.mSendBefore = aRequest.mSendBefore;
  call.mIsLimited = aRequest.mPlacement.mPlaced.mIsLimited;
  call.mIsStream = route.mIsStream && aStage != RelayStage::kPrefill;
  const bool canRepeat = route.mRepeat == RepeatRule::kMayRepeat;
  call.mNeedsNewConnection = !canRepeat && aStage != RelayStage::kPrefill;
  if (aStage == RelayStage::kDecode) {
    call.mKvHolder = aRequest.mKvHolder;
    call.mCacheId = aRequest.mCacheId;
    aRequest.mCacheId.clear();
  }
  if (aStage == RelayStage::kPrefill) {
    aRequest.mKvHolder = replica->mAddress;
  } else {
    call.mResumeAfter = aRequest.mLastEvent;
    ++aRequest.mPossibleRuns;
  }
  // A call for the answer is no retry while no earlier call may have run the
  // request. Every other call counts.
  const bool isFirst =
    aStage != RelayStage::kPrefill && aRequest.mPossibleRuns == 1;
  aRequest.mCountedCalls += isFirst ? 0 : 1;
  aRequest.mCallStartedAt = aContext.Now();
  aRequest.mCallStage = aStage;
  aRequest.mPhase =
    aStage == RelayStage::kPrefill ? Phase::kPrefilling : Phase::kAnswering;
  // A successor may still refuse the request. That would cut a stream that has
  // begun, so its call goes on until the connection fails.
  if (CanReplaceCall(aRequest) && !aRequest.mHasSentEvents) {
    call.mFirstByteLimit = SilenceLimit(aContext, aRequest, aStage, aServer);
  }
  LogRequestEvent(aContext,
                  "sent",
                  aRequest,
                  "stage=" + std::string(NameOf(aStage)) +
                    " server=" + LogValue(aServer.mValue) +
                    " address=" + replica->mAddress.mValue +
                    " call=" + std::to_string(aRequest.mCalls));
  aContext.Emit(std::move(call));
}

void
RelayRequests::On(RelayContext& aContext, const RelayStreamStarted& aEvent)
{
  OpenRequest* request = FindByCall(aEvent.mCall);
  if (request == nullptr || request->mPhase != Phase::kAnswering) {
    return;
  }
  request->mPhase = Phase::kStreaming;
  request->mHasSentEvents = true;
  request->mLastEventAt = aContext.Now();
  RecordAnswerTime(aContext, *request);
  ReportProgress(aContext, *request, PlacementStep::kFirstToken);
  RecordOutcome(aContext,
                RelayOutcome::kBegan,
                *request,
                "server=" +
                  LogValue(request->mPlacement.mPlaced.mServer.mValue));
}

void
RelayRequests::On(RelayContext& aContext, const RelayLimitSeen& aEvent)
{
  const Replica* called = CalledReplica(aEvent.mCall);
  if (called == nullptr) {
    return;
  }
  const Replica& replica = *called;
  if (aEvent.mIsMalformed) {
    mLimits.OnMalformed(aContext, replica);
  }
  if (!mLimits.OnAnswer(aContext, replica, aEvent.mRate)) {
    return;
  }
  const OpenRequest& request = *FindByCall(aEvent.mCall);
  PlaceRequest place = MakePlaceRequest(aContext, request, request.mPlacement);
  const NodeId scheduler =
    mShards.SchedulerForServer(aContext.mShared, place, replica.mName);
  if (scheduler.mIncarnation != 0) {
    mLimits.Report(aContext, scheduler);
  }
}

void
RelayRequests::On(RelayContext& aContext, const RelayCallEnded& aEvent)
{
  OpenRequest* request = FindByCall(aEvent.mCall);
  if (request == nullptr || request->mPhase == Phase::kPlacing) {
    return;
  }
  LogRequestEvent(
    aContext,
    "replied",
    *request,
    "result=" + std::string(NameOf(aEvent.mResult)) +
      " status=" + std::to_string(aEvent.mStatus) +
      " call=" + std::to_string(aEvent.mCall.mNumber) +
      (aEvent.mReason.empty() ? "" : " reason=\"" + aEvent.mReason + '"'));
  const bool ranAlone = request->mPlacement.mSuspectIn.has_value();
  if (aEvent.mIsConnectionLost) {
    mContentGuard.OnConnectionLost(
      aContext, request->mRequest, request->mCalledReplica, ranAlone);
  } else if (aEvent.mResult == RelayResult::kBroken) {
    mContentGuard.OnCallGivenUp(
      aContext, request->mRequest, request->mCalledReplica, ranAlone);
  }
  if (aEvent.mResult == RelayResult::kWrongReplica) {
    mContentGuard.OnReplaced(aContext, request->mCalledReplica.mName);
    RefuseWaitingContent(aContext);
  }
  if (request->mPhase == Phase::kPrefilling) {
    OnPrefilled(aContext, *request, aEvent);
    return;
  }
  if (!aEvent.mLastEvent.empty()) {
    request->mLastEvent = aEvent.mLastEvent;
    request->mHasSentEvents = true;
  }
  if (aEvent.mEvents > 0) {
    request->mLastEventAt = aContext.Now();
  }
  OnAnswered(aContext, *request, aEvent);
}

void
RelayRequests::OnPrefilled(RelayContext& aContext,
                           OpenRequest& aRequest,
                           const RelayCallEnded& aEnded)
{
  if (aEnded.mResult == RelayResult::kDone && !aEnded.mCacheId.empty()) {
    aRequest.mCacheId = aEnded.mCacheId;
    RecordAnswerTime(aContext, aRequest);
    ReportProgress(aContext, aRequest, PlacementStep::kPrefilled);
    if (RefuseCrashingContent(aContext, aRequest)) {
      return;
    }
    if (IsBackedOff(aContext, aRequest.mPlacement.mPlaced.mServer)) {
      aRequest.mPhase = Phase::kAnswering;
      RelayCallEnded notSent = aEnded;
      notSent.mResult = RelayResult::kNotSent;
      OnNotRun(aContext, aRequest, notSent);
      return;
    }
    StartStage(aContext,
               aRequest,
               RelayStage::kDecode,
               aRequest.mPlacement.mPlaced.mServer);
    return;
  }
  OnNotRun(aContext, aRequest, aEnded);
}

void
RelayRequests::OnAnswered(RelayContext& aContext,
                          OpenRequest& aRequest,
                          const RelayCallEnded& aEnded)
{
  switch (aEnded.mResult) {
    case RelayResult::kDone:
      if (aRequest.mPhase == Phase::kAnswering) {
        RecordAnswerTime(aContext, aRequest);
      }
      mContentGuard.OnAnswered(aContext, aRequest.mRequest);
      EndPlacement(
        aContext, aRequest, PlacementResult::kDone, {}, aEnded.mEvents);
      RecordOutcome(aContext,
                    RelayOutcome::kAnswered,
                    aRequest,
                    "status=" + std::to_string(aEnded.mStatus));
      aContext.Emit(PassAnswer{ aEnded.mCall });
      Close(aContext, aRequest);
      return;
    case RelayResult::kRanFailed: {
      const ServerName server = aRequest.mPlacement.mPlaced.mServer;
      EndPlacement(aContext, aRequest, PlacementResult::kAbandoned, {}, 0);
      if (CanRunAgain(aRequest) && TryAgain(aContext, aRequest, server)) {
        return;
      }
      RecordOutcome(aContext,
                    RelayOutcome::kAnswered,
                    aRequest,
                    "status=" + std::to_string(aEnded.mStatus));
      aContext.Emit(PassAnswer{ aEnded.mCall });
      Close(aContext, aRequest);
      return;
    }
    case RelayResult::kNotRun:
    case RelayResult::kWrongReplica:
    case RelayResult::kNotSent:
      --aRequest.mPossibleRuns;
      OnNotRun(aContext, aRequest, aEnded);
      return;
    case RelayResult::kBroken:
      OnBroken(aContext, aRequest, aEnded);
      return;
  }
}

// The request did not run in this call, so it may be sent to another
// replica whatever the route's repeat rule. Only the call limit and the retry
// budget apply.
void
RelayRequests::OnNotRun(RelayContext& aContext,
                        OpenRequest& aRequest,
                        const RelayCallEnded& aEnded)
{
  if (RefuseLapsedCall(aContext, aRequest, aEnded)) {
    return;
  }
  // The decode replica was full or could not fetch the KV cache. Its reply does
  // not say which, so neither replica is used again for this request.
  const bool isPrefillSuspect =
    aRequest.mPhase == Phase::kAnswering &&
    aEnded.mResult == RelayResult::kNotRun &&
    !IsBackedOff(aContext, aRequest.mPlacement.mPlaced.mServer) &&
    !aRequest.mPlacement.mPlaced.mPrefill.Empty();
  const bool wasPrefill = aRequest.mPhase == Phase::kPrefilling;
  const ServerName failed = wasPrefill ? aRequest.mPlacement.mPlaced.mPrefill
                                       : aRequest.mPlacement.mPlaced.mServer;
  EndPlacement(
    aContext, aRequest, ResultOfRejection(aContext, failed), failed, 0);
  ReleaseKv(aContext, aRequest);
  if (isPrefillSuspect) {
    aRequest.mExcluded.push_back(aRequest.mPlacement.mPlaced.mPrefill);
  }
  if (const auto backoff = BackoffFor(aContext, aRequest)) {
    RefuseUntilBackoffEnds(aContext, aRequest, *backoff);
    return;
  }
  if (aRequest.mCountedCalls < kMaxCountedCalls &&
      TryAgain(aContext, aRequest, failed)) {
    return;
  }
  if (aRequest.mHasSentEvents) {
    AbortStream(aContext, aRequest, "reason=\"retries exhausted\"");
    return;
  }
  const std::string message = "replica \"" + failed.mValue +
                              "\" did not take it (" +
                              std::string(NameOf(aEnded.mResult)) + ")";
  if (aRequest.mPossibleRuns > 0) {
    Refuse(aContext, aRequest, { ErrorCode::kOutcomeUnknown, message }, {});
    return;
  }
  Refuse(aContext,
         aRequest,
         { ErrorCode::kBackendServerBusy, message },
         kMinRetryAfter);
}

void
RelayRequests::OnBroken(RelayContext& aContext,
                        OpenRequest& aRequest,
                        const RelayCallEnded& aEnded)
{
  const ServerName server = aRequest.mPlacement.mPlaced.mServer;
  EndPlacement(
    aContext, aRequest, ResultOfRejection(aContext, server), server, 0);
  if (CanRunAgain(aRequest) && !BackoffFor(aContext, aRequest) &&
      TryAgain(aContext, aRequest, server)) {
    return;
  }
  if (aRequest.mHasSentEvents) {
    AbortStream(aContext,
                aRequest,
                "server=" + LogValue(server.mValue) +
                  " events=" + std::to_string(aEnded.mEvents));
    return;
  }
  Refuse(aContext,
         aRequest,
         { ErrorCode::kOutcomeUnknown,
           "no whole answer came from replica \"" + server.mValue + "\"" },
         {});
}

bool
RelayRequests::CanRunAgain(const OpenRequest& aRequest) const
{
  const Route& route = aRequest.mRoute;
  const bool canRepeat = route.mIsStream
                           ? route.mIsResumable
                           : route.mRepeat == RepeatRule::kMayRepeat;
  // A stream that the caller itself resumes starts in the middle: the position
  // to resume from is known only after the first event.
  const bool isStartKnown =
    !aRequest.mRequest.mIsResume || aRequest.mHasSentEvents;
  return canRepeat && isStartKnown &&
         aRequest.mPossibleRuns < route.mMaxAttempts;
}

bool
RelayRequests::CanReplaceCall(const OpenRequest& aRequest) const
{
  return aRequest.mPhase == Phase::kPrefilling
           ? aRequest.mCountedCalls < kMaxCountedCalls
           : CanRunAgain(aRequest);
}

// A retry after the prefill makes two calls: another prefill and the call for
// the answer.
int
RelayRequests::CallsOfRetry(const OpenRequest& aRequest) const
{
  const bool wasPrefilled =
    aRequest.mIsEngine && aRequest.mPhase != Phase::kPrefilling;
  return wasPrefilled ? 2 : 1;
}

bool
RelayRequests::SpendRetryBudget(RelayContext& aContext, OpenRequest& aRequest)
{
  const bool isGranted = mBudget.TrySpend(aContext.Now(),
                                          aContext.mSettings,
                                          aRequest.mService,
                                          aContext.mBudgetShare,
                                          CallsOfRetry(aRequest));
  LogRequestEvent(aContext,
                  isGranted ? "again" : "budget-spent",
                  aRequest,
                  "service=" + LogValue(aRequest.mService.mValue) +
                    " share=" + std::to_string(aContext.mBudgetShare));
  return isGranted;
}

void
RelayRequests::ReleaseKv(RelayContext& aContext, OpenRequest& aRequest)
{
  // The call would count towards the replica's limit or ignore its backoff, and
  // the cache expires by itself.
  const Placed& placed = aRequest.mPlacement.mPlaced;
  if (!aRequest.mCacheId.empty() && !placed.mIsLimited &&
      !IsBackedOff(aContext, placed.mPrefill)) {
    aContext.Emit(FreeKv{ aRequest.mKvHolder, aRequest.mCacheId });
  }
  aRequest.mCacheId.clear();
}

} // namespace heatherfork::detail
