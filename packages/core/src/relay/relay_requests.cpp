#include "heatherfork/detail/relay/relay_requests.h"

#include <algorithm>

#include "heatherfork/detail/relay/head_check.h"
#include "heatherfork/detail/relay/log_value.h"
#include "heatherfork/detail/relay/relay_log.h"

namespace heatherfork::detail {

namespace {

using Phase = OpenRequest::Phase;

// Limit for a caller without a deadline; the route's timeout may be shorter.
constexpr Duration kDefaultTimeout = Milliseconds(60000);

// Interval at which each scheduler receives the list of placements that it
// holds for this node. A lost message blocks capacity for at most this long.
constexpr Duration kHeldPlacementsInterval = Milliseconds(1000);

// A scheduler receives these lists for this long after the last placement
// request, so that at least one list follows every message that may be lost.
constexpr Duration kSchedulerRetention = Milliseconds(20000);

} // namespace

OpenRequest*
RelayRequests::Find(CallerId aCaller)
{
  const auto it = mOpen.find(aCaller);
  return it == mOpen.end() ? nullptr : &it->second;
}

OpenRequest*
RelayRequests::FindByAttempt(const AttemptId& aAttempt)
{
  const auto it = mCallerByAttempt.find(aAttempt);
  return it == mCallerByAttempt.end() ? nullptr : Find(it->second);
}

// Finds only the newest call of a request; older ones are stale.
OpenRequest*
RelayRequests::FindByCall(const RelayCallId& aCall)
{
  OpenRequest* request = Find(aCall.mCaller);
  return request != nullptr && request->mCalls == aCall.mNumber ? request
                                                                : nullptr;
}

const Replica*
RelayRequests::CalledReplica(const RelayCallId& aCall)
{
  const OpenRequest* request = FindByCall(aCall);
  return request == nullptr || request->mPhase == Phase::kPlacing
           ? nullptr
           : &request->mCalledReplica;
}

void
RelayRequests::Describe(RelayView& aView,
                        const RelaySettings& aSettings,
                        Instant aNow) const
{
  aView.mOpenRequests = mOpen.size();
  aView.mLimits = mLimits.All(aNow);
  aView.mKeyProofAge = mKeyProof.Age(aNow);
  aView.mShouldAskStore = mKeyProof.ShouldAskStore(aSettings, aNow);
  aView.mQuotas = mQuotas.Counts();
  aView.mOwnedQuotas = mQuotas.Owned();
}

std::optional<Instant>
RelayRequests::NextExpiry() const
{
  std::optional<Instant> next;
  for (const auto& [caller, request] : mOpen) {
    next = next ? std::min(*next, request.mExpiresAt) : request.mExpiresAt;
  }
  return next;
}

void
RelayRequests::Close(RelayContext& aContext, OpenRequest& aRequest)
{
  DropSuccessor(aContext, aRequest);
  SettleQuota(aContext, aRequest);
  mCallerByAttempt.erase(aRequest.mPlacement.mAttempt);
  mOpen.erase(aRequest.mCaller);
}

void
RelayRequests::Refuse(RelayContext& aContext,
                      OpenRequest& aRequest,
                      Error aError,
                      Duration aRetryAfter)
{
  const std::string text =
    "error=" + std::string(InfoOf(aError.mCode).mIdentifier) +
    " calls=" + std::to_string(aRequest.mCalls) +
    " runs=" + std::to_string(aRequest.mPossibleRuns) +
    " retry_after_ms=" + std::to_string(ToMilliseconds(aRetryAfter)) +
    " reason=" + Quoted(aError.mMessage);
  RecordOutcome(aContext, RelayOutcome::kRefused, aRequest, text);
  aContext.Emit(
    RefuseCaller{ aRequest.mCaller, std::move(aError), aRetryAfter });
  Close(aContext, aRequest);
}

void
RelayRequests::AbortStream(RelayContext& aContext,
                           OpenRequest& aRequest,
                           std::string aText)
{
  RecordOutcome(aContext, RelayOutcome::kBroken, aRequest, std::move(aText));
  aContext.Emit(BreakStream{ aRequest.mCaller });
  Close(aContext, aRequest);
}

void
RelayRequests::GiveUp(RelayContext& aContext,
                      OpenRequest& aRequest,
                      Error aNotRun,
                      Duration aRetryAfter,
                      Error aMayHaveRun)
{
  if (aRequest.mPhase != Phase::kPlacing && aRequest.mCalls > 0) {
    aContext.Emit(StopCall{ { aRequest.mCaller, aRequest.mCalls } });
  }
  EndPlacement(aContext, aRequest, PlacementResult::kAbandoned, {}, 0);
  ReleaseKv(aContext, aRequest);
  if (aRequest.mHasSentEvents) {
    AbortStream(aContext, aRequest, "reason=" + Quoted(aMayHaveRun.mMessage));
  } else if (aRequest.mPossibleRuns > 0) {
    Refuse(aContext, aRequest, std::move(aMayHaveRun), {});
  } else {
    Refuse(aContext, aRequest, std::move(aNotRun), aRetryAfter);
  }
}

void
RelayRequests::On(RelayContext& aContext, const RelayRequestArrived& aEvent)
{
  const RelayRequest& received = aEvent.mRequest;
  OpenRequest request;
  request.mCaller = aEvent.mCaller;
  request.mRequest = received;
  request.mArrivedAt = aContext.Now();
  request.mLastEventAt = aContext.Now();
  const Route* route = mRoutes.Find(received.mHost, received.mPath);
  OpenRequest& open =
    mOpen.emplace(aEvent.mCaller, std::move(request)).first->second;
  if (route == nullptr) {
    Refuse(aContext, open, NoRouteError(received), {});
    return;
  }
  open.mRoute = *route;
  if (!AdmitKey(aContext, open)) {
    return;
  }
  // Equal content goes to the same service of a route with several services.
  open.mService = ChooseService(*route, received.mFingerprint);
  const RoutedService* service = mRoutes.FindService(open.mService);
  open.mIsEngine = service != nullptr && service->mIsEngine;
  const Duration left = received.mTimeLeft > Duration{}
                          ? received.mTimeLeft - kAnswerMargin
                          : kDefaultTimeout;
  const Duration allowed =
    route->mTimeout > Duration{} ? std::min(left, route->mTimeout) : left;
  open.mExpiresAt = aContext.Now() + allowed;
  mBudget.OnRequest(aContext.Now(), open.mService);
  LogRequestEvent(aContext,
                  "taken",
                  open,
                  "route=" + LogValue(route->mName) +
                    " service=" + LogValue(open.mService.mValue) +
                    (open.mWorkspace.Empty()
                       ? ""
                       : " tenant=" + LogValue(open.mWorkspace.mValue)) +
                    " left_ms=" + std::to_string(ToMilliseconds(allowed)) +
                    " prompt=" + std::to_string(received.mPromptTokens) +
                    " most=" + std::to_string(received.mMaxTokens) +
                    " likely=" + std::to_string(received.mExpectedTokens));
  if (allowed <= Duration{}) {
    OnExpired(aContext, open);
    return;
  }
  if (RefuseCrashingContent(aContext, open) || !AdmitQuota(aContext, open)) {
    return;
  }
  Place(aContext, open, false);
}

void
RelayRequests::On(RelayContext& aContext, const RelayCallerDisconnected& aEvent)
{
  OpenRequest* request = Find(aEvent.mCaller);
  if (request == nullptr) {
    return;
  }
  RecordOutcome(aContext,
                RelayOutcome::kAbandoned,
                *request,
                "calls=" + std::to_string(request->mCalls));
  if (request->mPhase != Phase::kPlacing && request->mCalls > 0) {
    aContext.Emit(StopCall{ { request->mCaller, request->mCalls } });
  }
  EndPlacement(aContext, *request, PlacementResult::kAbandoned, {}, 0);
  ReleaseKv(aContext, *request);
  Close(aContext, *request);
}

bool
RelayRequests::RefuseCrashingContent(RelayContext& aContext,
                                     OpenRequest& aRequest)
{
  const std::optional<Duration> remaining =
    mContentGuard.RefusedFor(aContext, aRequest.mRequest);
  if (!remaining) {
    return false;
  }
  const std::string message = "replicas crashed while they ran this content";
  GiveUp(aContext,
         aRequest,
         { ErrorCode::kCrashingContent, message },
         *remaining,
         { ErrorCode::kOutcomeUnknown, message });
  return true;
}

void
RelayRequests::RefuseWaitingContent(RelayContext& aContext)
{
  if (!mContentGuard.TakeNewlyRefused()) {
    return;
  }
  std::vector<CallerId> waiting;
  for (const auto& [caller, request] : mOpen) {
    if (request.mPhase == Phase::kPlacing) {
      waiting.push_back(caller);
    }
  }
  for (const CallerId caller : waiting) {
    RefuseCrashingContent(aContext, *Find(caller));
  }
}

bool
RelayRequests::IsUnknownSuspect(RelayContext& aContext,
                                const OpenRequest& aRequest,
                                const RelayPlacement& aPlacement)
{
  const auto suspectIn = mContentGuard.SuspectIn(aContext, aRequest.mRequest);
  return suspectIn && suspectIn != aPlacement.mSuspectIn;
}

void
RelayRequests::On(RelayContext& aContext, const ServerChecked& aEvent)
{
  mContentGuard.On(aContext, aEvent);
  RefuseWaitingContent(aContext);
}

void
RelayRequests::On(RelayContext& aContext,
                  const NodeId& aFrom,
                  const ContentReport& aReport)
{
  mContentGuard.On(aContext, aFrom, aReport);
}

void
RelayRequests::OnReplicas(RelayContext& aContext)
{
  mLimits.OnReplicas(aContext.mReplicas);
  mBackoffs.OnReplicas(aContext.mReplicas);
  mAnswerTimes.OnReplicas(aContext.mReplicas);
  mContentGuard.OnReplicas(aContext, aContext.mReplicas);
  RefuseWaitingContent(aContext);
}

void
RelayRequests::OnTimer(RelayContext& aContext)
{
  mKeyProof.OnTimer(aContext);
  OnQuotaTimer(aContext);
  mContentGuard.OnTimer(aContext);
  RefuseWaitingContent(aContext);
  mBackoffs.Expire(aContext.Now());
  std::vector<CallerId> expired;
  std::vector<CallerId> unplaced;
  const Duration placementTimeout =
    aContext.mShared.mSettings.mPolicy.mPlacementTimeout;
  const NodeId& self = aContext.mShared.mSettings.mSelf;
  for (auto& [caller, request] : mOpen) {
    const std::optional<RelayPlacement>& successor = request.mSuccessor;
    if (successor && !successor->mIsQueued && successor->mScheduler != self &&
        successor->mSentAt + placementTimeout <= aContext.Now()) {
      DropSuccessor(aContext, request);
    }
    if (request.mExpiresAt <= aContext.Now()) {
      expired.push_back(caller);
    } else if (request.mPhase == Phase::kPlacing &&
               !request.mPlacement.mIsQueued &&
               request.mPlacement.mScheduler != self &&
               request.mPlacement.mSentAt + placementTimeout <=
                 aContext.Now()) {
      unplaced.push_back(caller);
    }
  }
  if (aContext.Now() - mHeldSentAt >= kHeldPlacementsInterval) {
    mHeldSentAt = aContext.Now();
    const auto isStale = [&](const auto& aItem) {
      return aContext.Now() - aItem.second > kSchedulerRetention;
    };
    std::erase_if(mSchedulerUsedAt, isStale);
    std::erase_if(mConnectionLostAt, isStale);
    for (const auto& [scheduler, usedAt] : mSchedulerUsedAt) {
      SendHeldPlacements(aContext, scheduler);
    }
  }
  for (const CallerId caller : expired) {
    OnExpired(aContext, *Find(caller));
  }
  Reschedule(aContext, unplaced, "scheduler-silent", true);
}

void
RelayRequests::OnExpired(RelayContext& aContext, OpenRequest& aRequest)
{
  GiveUp(aContext,
         aRequest,
         { ErrorCode::kDeadlineTooShort, "no place in time" },
         {},
         { ErrorCode::kDeadlinePassed, "no answer in time" });
}

void
RelayRequests::OnStopping(RelayContext& aContext)
{
  std::vector<CallerId> waiting;
  for (const auto& [caller, request] : mOpen) {
    if (request.mPhase == Phase::kPlacing) {
      waiting.push_back(caller);
    }
  }
  Reschedule(aContext, waiting, "stopping", false);
}

void
RelayRequests::EndAll(RelayContext& aContext)
{
  while (!mOpen.empty()) {
    GiveUpLeaving(aContext, mOpen.begin()->second);
  }
}

void
RelayRequests::GiveUpLeaving(RelayContext& aContext, OpenRequest& aRequest)
{
  const std::string message = "this node is leaving";
  GiveUp(aContext,
         aRequest,
         { ErrorCode::kLeaving, message },
         kMinRetryAfter,
         { ErrorCode::kOutcomeUnknown, message });
}

} // namespace heatherfork::detail
