#include "heatherfork/detail/requests/request_reducer.h"

#include <algorithm>

#include "heatherfork/detail/requests/admission.h"
#include "heatherfork/detail/requests/answering.h"
#include "heatherfork/detail/requests/attempts.h"

namespace heatherfork::detail {

namespace {

bool
ContinuesWithoutCallers(const RunningRequest& aRequest)
{
  const bool hasKey = !aRequest.mRequest.mKey.Empty();
  return aRequest.mHasRecord || (aRequest.mClass.mMayWait && hasKey);
}

} // namespace

void
RequestReducer::On(Context& aContext, const CallerRequested& aRequested)
{
  const Waiter waiter{ aRequested.mCaller, aRequested.mRequest.mStream };
  AdmitRequest(aContext,
               mState,
               IncomingRequest{ aRequested.mRequest, waiter, std::nullopt });
}

void
RequestReducer::On(Context& aContext, const CallerGone& aGone)
{
  RunningRequest* request = mState.mTable.FindByCaller(aGone.mCaller);
  if (request == nullptr) {
    return;
  }
  mState.mTable.RemoveWaiter(*request, aGone.mCaller);
  if (request->HasWaiters() || ContinuesWithoutCallers(*request)) {
    return;
  }
  EndAttempt(
    aContext, mState, *request, PlacementResult::kAbandoned, ServerName{});
  mState.mTable.Erase(request->mNumber);
}

void
RequestReducer::On(Context& aContext, const ServerReplied& aReplied)
{
  if (std::holds_alternative<CancelCall>(aReplied.mCall) ||
      std::holds_alternative<CancelRangeCall>(aReplied.mCall)) {
    mState.mCancels.On(aReplied);
    return;
  }
  RunningRequest* request = mState.mTable.FindByAttempt(aReplied.mAttempt);
  if (request != nullptr) {
    OnStepReplied(aContext, mState, *request, aReplied);
  }
}

void
RequestReducer::On(Context& aContext, const TokensReceived& aTokens)
{
  RunningRequest* request = mState.mTable.FindByAttempt(aTokens.mAttempt);
  if (request != nullptr) {
    OnTokens(aContext, *request, aTokens);
  }
}

void
RequestReducer::On(Context& aContext, const TimerFired& aTimer)
{
  mState.mCancels.On(aContext, aTimer);
  mState.mRecords.DropExpired(aContext.mNow);
  mState.mAnswers.DropExpired(aContext.mNow);
  mState.mSuspects.DropExpired(aContext.mNow);
  for (const RequestNumber number : mState.mTable.PopDue(aContext.mNow)) {
    if (RunningRequest* request = mState.mTable.Find(number)) {
      OnWakeUp(aContext, *request);
    }
  }
}

void
RequestReducer::On(Context& aContext,
                   const NodeId& aFrom,
                   const ForwardRequest& aForward)
{
  Request request = aForward.mRequest;
  request.mStream = false;
  AdmitRequest(aContext,
               mState,
               IncomingRequest{ std::move(request),
                                std::nullopt,
                                RemoteWaiter{ aFrom, aForward.mForward } });
}

void
RequestReducer::On(Context& aContext,
                   const NodeId& aFrom,
                   const ForwardAnswer& aAnswer)
{
  RunningRequest* request = mState.mTable.Find(aAnswer.mForward);
  if (request == nullptr || request->mPhase != Phase::kForwarded ||
      request->mRequest.mHome != aFrom) {
    return;
  }
  FinishRequest(aContext, mState, *request, aAnswer.mAnswer);
}

void
RequestReducer::On(Context& aContext, const NodeId&, const Placed& aPlaced)
{
  mState.mShards.On(aContext, aPlaced);
  if (auto* request = mState.mTable.FindByAttempt(aPlaced.mAttempt)) {
    OnPlaced(aContext, mState, *request, aPlaced);
  }
}

void
RequestReducer::On(Context& aContext,
                   const NodeId&,
                   const PlacementQueued& aQueued)
{
  RunningRequest* request = mState.mTable.FindByAttempt(aQueued.mAttempt);
  if (request != nullptr && request->mPhase == Phase::kPlacing) {
    request->mAttempt.mIsQueued = true;
    ScheduleWakeUp(aContext, mState, *request);
  }
}

void
RequestReducer::On(Context& aContext,
                   const NodeId&,
                   const PlacementRefused& aRefused)
{
  mState.mShards.On(aContext, aRefused);
  if (auto* request = mState.mTable.FindByAttempt(aRefused.mAttempt)) {
    OnPlacementRefused(aContext, mState, *request, aRefused);
  }
}

void
RequestReducer::On(Context& aContext, const NodeId&, const CrashReport& aReport)
{
  mState.mSuspects.Merge(aReport.mFingerprint,
                         aReport.mCrashCount,
                         aContext.mNow + aReport.mRemaining);
}

void
RequestReducer::OnNodeLost(Context& aContext, const NodeId& aNode)
{
  const auto forwarded =
    mState.mTable.Select([&aNode](const RunningRequest& aRequest) {
      return aRequest.mPhase == Phase::kForwarded &&
             aRequest.mRequest.mHome == aNode;
    });
  for (const RequestNumber number : forwarded) {
    FailRequest(aContext,
                mState,
                *mState.mTable.Find(number),
                ErrorCode::kHomeUnreachable,
                "the connection to its home was lost");
  }
  const auto placing =
    mState.mTable.Select([&aNode](const RunningRequest& aRequest) {
      return aRequest.mPhase == Phase::kPlacing &&
             aRequest.mAttempt.mScheduler == aNode;
    });
  for (const RequestNumber number : placing) {
    OnStepTimeout(aContext, mState, *mState.mTable.Find(number));
  }
}

void
RequestReducer::CancelAttemptsOfNode(Context& aContext, const NodeId& aNode)
{
  mOrphanedAttempts.OnNodeGone(aContext, aNode, mState.mCancels);
}

void
RequestReducer::SetEpoch(std::uint32_t aEpoch)
{
  mState.mEpoch = std::max(mState.mEpoch, aEpoch);
}

bool
RequestReducer::IsIdle() const
{
  return mState.mTable.Size() == 0 && mState.mCancels.Empty();
}

void
RequestReducer::OnWakeUp(Context& aContext, RunningRequest& aRequest)
{
  if (aRequest.mRequest.mDeadline <= aContext.mNow) {
    OnDeadline(aContext, aRequest);
    return;
  }
  if (aRequest.mPhase == Phase::kWaiting &&
      aRequest.mNextAttempt <= aContext.mNow) {
    StartAttempt(aContext, mState, aRequest);
    return;
  }
  const Duration timeout = TimeoutOf(aContext.mSettings.mPolicy, aRequest);
  if (timeout != Duration::max() &&
      StepTimerStart(aRequest.mAttempt) + timeout <= aContext.mNow) {
    OnStepTimeout(aContext, mState, aRequest);
    return;
  }
  ScheduleWakeUp(aContext, mState, aRequest);
}

void
RequestReducer::OnDeadline(Context& aContext, RunningRequest& aRequest)
{
  if (aRequest.mHasRecord && aRequest.mPhase == Phase::kCalling) {
    // The call continues, and its answer is recorded for a caller that repeats
    // the request. The current waiters get a timeout error.
    TimeOutWaiters(aContext, mState, aRequest);
    return;
  }
  EndAttempt(
    aContext, mState, aRequest, PlacementResult::kAbandoned, ServerName{});
  const bool mayHaveRun =
    aRequest.mMayHaveRun || aRequest.mPhase == Phase::kForwarded;
  FailRequest(aContext,
              mState,
              aRequest,
              mayHaveRun ? ErrorCode::kDeadlinePassed
                         : ErrorCode::kDeadlineTooShort,
              "expected an answer before the deadline");
}

} // namespace heatherfork::detail
