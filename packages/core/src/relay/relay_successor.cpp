#include "heatherfork/detail/relay/relay_log.h"

namespace heatherfork::detail {

namespace {

using Phase = OpenRequest::Phase;

} // namespace

// A silent replica may still answer, so its call ends only once another replica
// and the retry budget for it are granted.
void
RelayRequests::On(RelayContext& aContext, const RelayCallSilence& aEvent)
{
  OpenRequest* request = FindByCall(aEvent.mCall);
  if (request == nullptr || request->mPhase == Phase::kPlacing ||
      request->mHasSentEvents) {
    return;
  }
  LogRequestEvent(aContext,
                  aEvent.mIsSilent ? "silent" : "sends-again",
                  *request,
                  "call=" + std::to_string(aEvent.mCall.mNumber));
  if (!aEvent.mIsSilent) {
    DropSuccessor(aContext, *request);
  } else if (!request->mSuccessor) {
    SeekSuccessor(aContext, *request);
  }
}

CallWork
RelayRequests::WorkOf(const OpenRequest& aRequest, RelayStage aStage) const
{
  return CallWork{ aRequest.mService, aStage, aRequest.mRequest.mPromptTokens };
}

void
RelayRequests::RecordAnswerTime(RelayContext& aContext,
                                const OpenRequest& aRequest)
{
  mAnswerTimes.Observe(WorkOf(aRequest, aRequest.mCallStage),
                       aRequest.mCalledReplica.mName,
                       aContext.Now() - aRequest.mCallStartedAt);
}

// The call ends while its replacement can still be answered in the caller's
// time.
Duration
RelayRequests::SilenceLimit(const RelayContext& aContext,
                            const OpenRequest& aRequest,
                            RelayStage aStage,
                            const ServerName& aServer) const
{
  const Duration left = TimeUntilAnswer(aContext, aRequest);
  const auto limit = mAnswerTimes.Upper(WorkOf(aRequest, aStage), aServer);
  if (!limit) {
    // The replacement is expected to take as long as this call.
    constexpr int kCalls = 2;
    return left / kCalls;
  }
  const std::vector<RelayStage> stages =
    aRequest.mIsEngine
      ? std::vector{ RelayStage::kPrefill, RelayStage::kDecode }
      : std::vector{ RelayStage::kFullRequest };
  Duration replacement{};
  for (const RelayStage stage : stages) {
    replacement +=
      mAnswerTimes.Upper(WorkOf(aRequest, stage)).value_or(Duration{});
  }
  return *limit + replacement <= left ? *limit : Duration{};
}

void
RelayRequests::SeekSuccessor(RelayContext& aContext, OpenRequest& aRequest)
{
  const bool hasBudget = mBudget.CanSpend(aContext.Now(),
                                          aContext.mSettings,
                                          aRequest.mService,
                                          aContext.mBudgetShare,
                                          CallsOfRetry(aRequest));
  if (mContentGuard.RefusedFor(aContext, aRequest.mRequest)) {
    return;
  }
  if (!CanReplaceCall(aRequest) || !hasBudget) {
    LogRequestEvent(aContext,
                    "call-kept",
                    aRequest,
                    hasBudget ? "reason=\"no attempt left\""
                              : "reason=\"no retry budget\"");
    return;
  }
  aRequest.mSuccessor.emplace();
  if (!SendPlaceRequest(aContext, aRequest, *aRequest.mSuccessor, false)) {
    DropSuccessor(aContext, aRequest);
  }
}

void
RelayRequests::OnSuccessorPlaced(RelayContext& aContext,
                                 OpenRequest& aRequest,
                                 const Placed& aPlaced)
{
  RelayPlacement& successor = *aRequest.mSuccessor;
  successor.mPlaced = aPlaced;
  successor.mIsPaid = successor.mIsPaid || SpendRetryBudget(aContext, aRequest);
  if (!successor.mIsPaid) {
    DropSuccessor(aContext, aRequest);
    return;
  }
  mAnswerTimes.ObserveSilence(WorkOf(aRequest, aRequest.mCallStage),
                              aRequest.mCalledReplica.mName,
                              aContext.Now() - aRequest.mCallStartedAt);
  aContext.Emit(EndSilentCall{ { aRequest.mCaller, aRequest.mCalls } });
}

void
RelayRequests::DropSuccessor(RelayContext& aContext, OpenRequest& aRequest)
{
  if (!aRequest.mSuccessor) {
    return;
  }
  const RelayPlacement& successor = *aRequest.mSuccessor;
  mCallerByAttempt.erase(successor.mAttempt);
  if (successor.mScheduler.mIncarnation != 0) {
    aContext.mShared.Send(
      successor.mScheduler,
      PlacementEnded{
        successor.mAttempt, PlacementResult::kAbandoned, {}, {}, 0 });
  }
  aRequest.mSuccessor.reset();
}

void
RelayRequests::DropSuccessorsOf(RelayContext& aContext,
                                const NodeId& aScheduler)
{
  for (auto& [caller, request] : mOpen) {
    if (request.mSuccessor && request.mSuccessor->mScheduler == aScheduler) {
      DropSuccessor(aContext, request);
    }
  }
}

bool
RelayRequests::TryAgain(RelayContext& aContext,
                        OpenRequest& aRequest,
                        const ServerName& aFailed)
{
  if (mContentGuard.RefusedFor(aContext, aRequest.mRequest)) {
    return false;
  }
  const bool isPaid = aRequest.mSuccessor && aRequest.mSuccessor->mIsPaid;
  if (aRequest.mSuccessor &&
      IsUnknownSuspect(aContext, aRequest, *aRequest.mSuccessor)) {
    DropSuccessor(aContext, aRequest);
  }
  if (!isPaid && !SpendRetryBudget(aContext, aRequest)) {
    return false;
  }
  aRequest.mExcluded.push_back(aFailed);
  if (!aRequest.mSuccessor) {
    Place(aContext, aRequest, false);
    return true;
  }
  aRequest.mPlacement = std::move(*aRequest.mSuccessor);
  aRequest.mSuccessor.reset();
  aRequest.mPhase = Phase::kPlacing;
  if (!aRequest.mPlacement.mPlaced.mServer.Empty()) {
    StartFirstStage(aContext, aRequest);
  }
  return true;
}

} // namespace heatherfork::detail
