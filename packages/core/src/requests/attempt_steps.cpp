#include <algorithm>
#include <cstdlib>

#include "heatherfork/detail/requests/answering.h"
#include "heatherfork/detail/requests/attempts.h"
#include "heatherfork/detail/scheduling/pieces.h"

namespace heatherfork::detail {

namespace {

constexpr int kMaxResumes = 1;

ChosenServer
ResolveServer(const Context& aContext, const ServerName& aName)
{
  const BackendServer* server = FindServer(*aContext.mConfiguration, aName);
  if (server == nullptr) {
    return ChosenServer{};
  }
  return ChosenServer{ server->mName, server->mAddress };
}

void
Call(Context& aContext,
     RequestState& aState,
     RunningRequest& aRequest,
     Phase aPhase,
     const ChosenServer& aServer,
     ServerCall aCall)
{
  aRequest.mPhase = aPhase;
  aRequest.mAttempt.mStepStarted = aContext.mNow;
  Instant deadline = aRequest.mRequest.mDeadline;
  if (aRequest.mHasRecord) {
    // The run may not be repeated, so its answer is awaited beyond the
    // deadline: a caller that sends the request again receives it.
    deadline += aContext.mSettings.mPolicy.mLateAnswerWait;
  }
  ScheduleWakeUp(aContext, aState, aRequest);
  aContext.Emit(CallServer{ aRequest.mAttempt.mId,
                            aServer.mName,
                            aServer.mAddress,
                            deadline,
                            std::move(aCall) });
}

void
CallReserve(Context& aContext, RequestState& aState, RunningRequest& aRequest)
{
  Call(aContext,
       aState,
       aRequest,
       Phase::kReserving,
       aRequest.mAttempt.mServer,
       ReserveCall{ PiecesFor(aContext.mConfiguration->mLimits,
                              aRequest.mRequest.mPromptTokens,
                              aRequest.mRequest.mMaxTokens) });
}

void
CallPrefill(Context& aContext, RequestState& aState, RunningRequest& aRequest)
{
  const Request& request = aRequest.mRequest;
  aRequest.mMayHaveRun = true;
  Call(aContext,
       aState,
       aRequest,
       Phase::kPrefilling,
       aRequest.mAttempt.mPrefill,
       PrefillCall{ request.mModel,
                    request.mAdapter,
                    request.mBody,
                    request.mPromptTokens,
                    aRequest.mClass.mPriority });
}

void
CallTransfer(Context& aContext, RequestState& aState, RunningRequest& aRequest)
{
  Call(aContext,
       aState,
       aRequest,
       Phase::kTransferring,
       aRequest.mAttempt.mPrefill,
       TransferCall{ aRequest.mAttempt.mServer.mAddress });
}

void
CallDecode(Context& aContext, RequestState& aState, RunningRequest& aRequest)
{
  Call(aContext,
       aState,
       aRequest,
       Phase::kDecoding,
       aRequest.mAttempt.mServer,
       DecodeCall{ aRequest.mRequest.mMaxTokens,
                   aRequest.mTokens,
                   aRequest.mClass.mPriority });
}

void
CallPlain(Context& aContext, RequestState& aState, RunningRequest& aRequest)
{
  aRequest.mMayHaveRun = true;
  Call(aContext,
       aState,
       aRequest,
       Phase::kCalling,
       aRequest.mAttempt.mServer,
       PlainCall{ aRequest.mRequest.mCall,
                  aRequest.mRequest.mBody,
                  aRequest.mHasRecord });
}

void
ReportStep(Context& aContext,
           const RunningRequest& aRequest,
           PlacementStep aStep,
           int aCachedTokens)
{
  const Attempt& attempt = aRequest.mAttempt;
  aContext.Send(attempt.mScheduler,
                PlacementProgress{ attempt.mId,
                                   aStep,
                                   aContext.mNow - attempt.mStepStarted,
                                   aCachedTokens });
}

void
CompleteRequest(Context& aContext,
                RequestState& aState,
                RunningRequest& aRequest,
                std::string aBody)
{
  aState.mSuspects.OnSuccess(aRequest.mRequest.mFingerprint);
  EndAttempt(aContext, aState, aRequest, PlacementResult::kDone, ServerName{});
  const Answer answer{ true,
                       Error{ ErrorCode::kOutcomeUnknown, "" },
                       std::move(aBody),
                       aRequest.mTokens };
  FinishRequest(aContext, aState, aRequest, answer);
}

void
OnStepDone(Context& aContext,
           RequestState& aState,
           RunningRequest& aRequest,
           const ServerReply& aReply)
{
  switch (aRequest.mPhase) {
    case Phase::kReserving:
      ReportStep(aContext, aRequest, PlacementStep::kReserved, 0);
      CallPrefill(aContext, aState, aRequest);
      return;
    case Phase::kPrefilling:
      ReportStep(
        aContext, aRequest, PlacementStep::kPrefilled, aReply.mCachedTokens);
      CallTransfer(aContext, aState, aRequest);
      return;
    case Phase::kTransferring:
      ReportStep(aContext, aRequest, PlacementStep::kTransferred, 0);
      CallDecode(aContext, aState, aRequest);
      return;
    case Phase::kDecoding: {
      std::string text = aRequest.mText;
      CompleteRequest(aContext, aState, aRequest, std::move(text));
      return;
    }
    case Phase::kCalling:
      CompleteRequest(aContext, aState, aRequest, aReply.mBody);
      return;
    case Phase::kForwarded:
    case Phase::kPlacing:
    case Phase::kWaiting:
      std::abort(); // Unreachable: no call is open in these phases.
  }
}

// A streaming caller that has received tokens can't continue with another
// attempt, whose tokens may differ. Its stream fails; other waiters stay.
void
FailStartedStreams(Context& aContext,
                   RequestState& aState,
                   RunningRequest& aRequest)
{
  std::vector<CallerId> broken;
  for (const Waiter& waiter : aRequest.mWaiters) {
    if (waiter.mTokensSent > 0) {
      broken.push_back(waiter.mCaller);
    }
  }
  for (const CallerId caller : broken) {
    aContext.Emit(
      AnswerCaller{ caller,
                    Answer{ false,
                            Error{ ErrorCode::kStreamBroken,
                                   "expected the stream's end, the backend "
                                   "server's stream broke" } } });
    aState.mTable.RemoveWaiter(aRequest, caller);
  }
}

bool
HasStartedStream(const RunningRequest& aRequest)
{
  return std::any_of(
    aRequest.mWaiters.begin(),
    aRequest.mWaiters.end(),
    [](const Waiter& aWaiter) { return aWaiter.mTokensSent > 0; });
}

bool
IsPossibleCrash(const RunningRequest& aRequest, CallStatus aStatus)
{
  const bool isBroken =
    aStatus == CallStatus::kBroken ||
    (aStatus == CallStatus::kNotSent && aRequest.mPhase == Phase::kDecoding);
  return isBroken && aRequest.mMayHaveRun;
}

ServerName
ServerOfPhase(const RunningRequest& aRequest)
{
  const bool isAtPrefill = aRequest.mPhase == Phase::kPrefilling ||
                           aRequest.mPhase == Phase::kTransferring;
  return isAtPrefill ? aRequest.mAttempt.mPrefill.mName
                     : aRequest.mAttempt.mServer.mName;
}

// Crashes during isolated runs count at all nodes, so that the request does
// not crash more backend servers when it is sent to another node.
void
ReportCrash(Context& aContext,
            RequestState& aState,
            const RunningRequest& aRequest)
{
  const std::uint64_t fingerprint = aRequest.mRequest.mFingerprint;
  const Instant until = SuspectExpiry(aContext);
  aState.mSuspects.OnCrash(fingerprint, aRequest.mAttempt.mIsIsolated, until);
  const int crashes = aState.mSuspects.IsolatedCrashCount(fingerprint);
  for (const Member& member : aContext.mMembers) {
    if (member.mNode != aContext.mSettings.mSelf &&
        member.mStatus != MemberStatus::kDead) {
      aContext.Send(member.mNode,
                    CrashReport{ fingerprint, crashes, until - aContext.mNow });
    }
  }
}

// Other nodes have declared this node dead and cancelled its attempts at the
// engines. Its next attempts need ids above the cancelled range.
void
RaiseEpochAbove(RequestState& aState, const AttemptId& aAttempt)
{
  aState.mEpoch = std::max(aState.mEpoch, EpochOf(aAttempt) + 1);
}

struct Failure
{
  ErrorCode mCode;
  const char* mMessage;
};

Failure
FailureOf(const RunningRequest& aRequest, CallStatus aStatus)
{
  if (aStatus == CallStatus::kFailed) {
    return { ErrorCode::kBackendServerFailed,
             "the backend server ran it and said that it failed" };
  }
  if (aStatus == CallStatus::kBroken || aRequest.mMayHaveRun) {
    return { ErrorCode::kOutcomeUnknown,
             "expected a whole answer of the backend server, got none" };
  }
  if (aStatus == CallStatus::kRefused || aStatus == CallStatus::kCancelled) {
    return { ErrorCode::kBackendServerBusy,
             "expected a backend server with room, all refused" };
  }
  return { ErrorCode::kNoBackendServer,
           "expected a backend server that can be reached, found none" };
}

void
OnStepFailed(Context& aContext,
             RequestState& aState,
             RunningRequest& aRequest,
             CallStatus aStatus)
{
  const Request& request = aRequest.mRequest;
  const ServerName failed = ServerOfPhase(aRequest);
  const bool isCancelled = aStatus == CallStatus::kCancelled;
  if (isCancelled) {
    RaiseEpochAbove(aState, aRequest.mAttempt.mId);
  }
  // A plain call that was not sent or was refused has not run.
  if (aRequest.mPhase == Phase::kCalling &&
      (aStatus == CallStatus::kNotSent || aStatus == CallStatus::kRefused)) {
    aRequest.mMayHaveRun = false;
  }
  if (IsPossibleCrash(aRequest, aStatus) && aContext.mNow < request.mDeadline) {
    ReportCrash(aContext, aState, aRequest);
  }
  const Failure failure = FailureOf(aRequest, aStatus);
  LogStep(aContext, aRequest, failed.mValue + ": " + failure.mMessage);
  if (isCancelled) {
    EndAttempt(
      aContext, aState, aRequest, PlacementResult::kAbandoned, ServerName{});
  } else {
    EndAttempt(
      aContext, aState, aRequest, PlacementResult::kServerFailed, failed);
    aRequest.mExcluded.push_back(failed);
  }
  const bool hadWaiters = aRequest.HasWaiters();
  FailStartedStreams(aContext, aState, aRequest);
  if (hadWaiters && !aRequest.HasWaiters()) {
    aState.mTable.Erase(aRequest.mNumber);
    return;
  }
  if (aStatus == CallStatus::kFailed) {
    FailRequest(aContext, aState, aRequest, failure.mCode, failure.mMessage);
    return;
  }
  RetryOrFail(aContext, aState, aRequest, failure.mCode, failure.mMessage);
}

bool
CanResume(const RunningRequest& aRequest, CallStatus aStatus)
{
  return aRequest.mPhase == Phase::kDecoding &&
         aStatus == CallStatus::kBroken &&
         aRequest.mAttempt.mResumeCount < kMaxResumes;
}

// A stream that has started can't go on with another attempt. Its server counts
// as lost only if the resume has brought nothing.
bool
ShouldEndSilentStep(const Context& aContext,
                    const RequestState& aState,
                    const RunningRequest& aRequest)
{
  return HasStartedStream(aRequest)
           ? aRequest.mTokens == aRequest.mAttempt.mTokensAtResume
           : MayRetry(aContext, aState, aRequest);
}

void
ResumeOrFailStep(Context& aContext,
                 RequestState& aState,
                 RunningRequest& aRequest,
                 CallStatus aStatus)
{
  if (CanResume(aRequest, aStatus)) {
    ++aRequest.mAttempt.mResumeCount;
    aRequest.mAttempt.mTokensAtResume = aRequest.mTokens;
    CallDecode(aContext, aState, aRequest);
    return;
  }
  OnStepFailed(aContext, aState, aRequest, aStatus);
}

} // namespace

void
OnPlaced(Context& aContext,
         RequestState& aState,
         RunningRequest& aRequest,
         const Placed& aPlaced)
{
  if (aRequest.mPhase != Phase::kPlacing) {
    return;
  }
  Attempt& attempt = aRequest.mAttempt;
  attempt.mServer = ResolveServer(aContext, aPlaced.mServer);
  LogStep(
    aContext,
    aRequest,
    "placed at " + aPlaced.mServer.mValue +
      (aPlaced.mPrefill.Empty() ? "" : " after " + aPlaced.mPrefill.mValue));
  if (aRequest.mRequest.mKind == RequestKind::kPlainCall) {
    CallPlain(aContext, aState, aRequest);
    return;
  }
  attempt.mPrefill = ResolveServer(aContext, aPlaced.mPrefill);
  CallReserve(aContext, aState, aRequest);
}

void
OnPlacementRefused(Context& aContext,
                   RequestState& aState,
                   RunningRequest& aRequest,
                   const PlacementRefused& aRefused)
{
  if (aRequest.mPhase != Phase::kPlacing) {
    return;
  }
  LogStep(aContext, aRequest, "no place: " + aRefused.mError.mMessage);
  const bool isRemote =
    aRequest.mAttempt.mScheduler != aContext.mSettings.mSelf;
  aState.mTable.SetAttempt(aRequest, Attempt{});
  if (isRemote && aRefused.mError.mCode == ErrorCode::kNoBackendServer) {
    // A scheduler that has just started is a member before it has a
    // configuration. This node has one and schedules the request itself.
    aRequest.mShouldScheduleLocally = true;
    StartAttempt(aContext, aState, aRequest);
    return;
  }
  // Servers that failed earlier may be tried again when there are no others.
  const bool hadExcluded = !aRequest.mExcluded.empty();
  aRequest.mExcluded.clear();
  // An answer in time is unlikely.
  const bool isHopeless = aRefused.mError.mCode == ErrorCode::kDeadlineTooShort;
  if (!isHopeless && (aRequest.mClass.mMayWait || hadExcluded)) {
    RetryOrFail(aContext,
                aState,
                aRequest,
                aRefused.mError.mCode,
                aRefused.mError.mMessage);
    return;
  }
  FailRequest(aContext,
              aState,
              aRequest,
              aRefused.mError.mCode,
              aRefused.mError.mMessage);
}

void
OnStepReplied(Context& aContext,
              RequestState& aState,
              RunningRequest& aRequest,
              const ServerReplied& aReplied)
{
  const ServerReply& reply = aReplied.mReply;
  if (reply.mStatus != CallStatus::kOk) {
    ResumeOrFailStep(aContext, aState, aRequest, reply.mStatus);
    return;
  }
  const bool isTruncated =
    aRequest.mPhase == Phase::kDecoding && reply.mTokens != aRequest.mTokens;
  if (isTruncated) {
    ResumeOrFailStep(aContext, aState, aRequest, CallStatus::kBroken);
    return;
  }
  OnStepDone(aContext, aState, aRequest, reply);
}

void
OnTokens(Context& aContext,
         RunningRequest& aRequest,
         const TokensReceived& aTokens)
{
  const bool isNext = aTokens.mOffset == aRequest.mTokens;
  if (aRequest.mPhase != Phase::kDecoding || !isNext) {
    return; // A gap is detected at the stream's end by the token count.
  }
  if (aRequest.mTokens == 0) {
    ReportStep(aContext, aRequest, PlacementStep::kFirstToken, 0);
  }
  aRequest.mAttempt.mStepStarted = aContext.mNow;
  aRequest.mText += aTokens.mText;
  aRequest.mTokens += aTokens.mCount;
  SendNewTokens(aContext, aRequest);
}

// A silent server may still answer, so its step ends only for a resume or
// another attempt that is allowed. Else it goes on until the deadline.
void
OnStepTimeout(Context& aContext, RequestState& aState, RunningRequest& aRequest)
{
  if (aRequest.mPhase == Phase::kPlacing) {
    aRequest.mShouldScheduleLocally = true;
    EndAttempt(
      aContext, aState, aRequest, PlacementResult::kAbandoned, ServerName{});
    StartAttempt(aContext, aState, aRequest);
    return;
  }
  if (CanResume(aRequest, CallStatus::kBroken)) {
    aContext.Emit(AbortCall{ aRequest.mAttempt.mId });
    ResumeOrFailStep(aContext, aState, aRequest, CallStatus::kBroken);
    return;
  }
  if (ShouldEndSilentStep(aContext, aState, aRequest)) {
    OnStepFailed(aContext, aState, aRequest, CallStatus::kBroken);
    return;
  }
  LogStep(aContext,
          aRequest,
          ServerOfPhase(aRequest).mValue + " is silent, no retry is allowed");
  aRequest.mAttempt.mKeptAt = aContext.mNow;
  ScheduleWakeUp(aContext, aState, aRequest);
}

} // namespace heatherfork::detail
