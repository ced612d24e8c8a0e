#include "heatherfork/detail/requests/attempts.h"

#include <algorithm>

#include "heatherfork/detail/requests/answering.h"
#include "heatherfork/detail/requests/prompt_prefixes.h"

namespace heatherfork::detail {

namespace {

constexpr Duration kMinBackoff = Milliseconds(5);
constexpr Duration kMinMayWaitBackoff = Milliseconds(200);
constexpr Duration kMaxBackoff = Milliseconds(2000);

AttemptId
NextAttemptId(const Context& aContext, RequestState& aState)
{
  const std::uint64_t epoch = aState.mEpoch;
  return AttemptId{ aContext.mSettings.mSelf.mIncarnation,
                    (epoch << kEpochShift) | ++aState.mAttemptCount };
}

PlaceRequest
MakePlaceRequest(const RequestState& aState,
                 const RunningRequest& aRequest,
                 const AttemptId& aAttempt)
{
  const Request& request = aRequest.mRequest;
  PlaceRequest place;
  place.mAttempt = aAttempt;
  place.mKind = request.mKind;
  place.mModel = request.mModel;
  place.mService = request.mService;
  place.mWorkspace = request.mWorkspace;
  place.mClass = request.mClass;
  place.mPromptTokens = request.mPromptTokens;
  place.mMaxTokens = request.mMaxTokens;
  place.mPrefixes = PrefixHashes(request);
  place.mExcluded = aRequest.mExcluded;
  place.mMayWait = aRequest.mClass.mMayWait;
  place.mIsolate = aState.mSuspects.IsSuspect(request.mFingerprint);
  place.mDeadline = request.mDeadline;
  return place;
}

// A random duration between half the delay and the full delay.
Duration
WithJitter(Context& aContext, Duration aDelay)
{
  const auto half = aDelay.count() / 2;
  std::uniform_int_distribution<Duration::rep> jitter(0, half);
  return Duration(half + jitter(aContext.mRandom));
}

Duration
BackoffOf(const RunningRequest& aRequest, Duration aMin, Duration aMax)
{
  constexpr int kMaxDoublings = 10;
  const int doublings =
    std::clamp(aRequest.mAttemptCount - 1, 0, kMaxDoublings);
  return std::min(aMin * (1 << doublings), aMax);
}

void
ScheduleRetry(Context& aContext,
              RequestState& aState,
              RunningRequest& aRequest,
              Duration aDelay)
{
  LogStep(aContext, aRequest, "tries again after a wait");
  aRequest.mPhase = Phase::kWaiting;
  aRequest.mNextAttempt = aContext.mNow + WithJitter(aContext, aDelay);
  ScheduleWakeUp(aContext, aState, aRequest);
}

bool
HoldsPrefillMemory(Phase aPhase)
{
  return aPhase == Phase::kPrefilling || aPhase == Phase::kTransferring;
}

bool
HoldsDecodeMemory(Phase aPhase)
{
  return aPhase == Phase::kReserving || HoldsPrefillMemory(aPhase) ||
         aPhase == Phase::kDecoding;
}

} // namespace

void
StartAttempt(Context& aContext, RequestState& aState, RunningRequest& aRequest)
{
  Attempt attempt;
  attempt.mId = NextAttemptId(aContext, aState);
  attempt.mStepStarted = aContext.mNow;
  PlaceRequest place = MakePlaceRequest(aState, aRequest, attempt.mId);
  attempt.mIsIsolated = place.mIsolate;
  attempt.mScheduler = aState.mShards.SchedulerFor(aContext, place);
  if (aRequest.mShouldScheduleLocally || attempt.mScheduler.mIncarnation == 0) {
    attempt.mScheduler = aContext.mSettings.mSelf;
  }
  aRequest.mPhase = Phase::kPlacing;
  aRequest.mText.clear();
  aRequest.mTokens = 0;
  ++aRequest.mAttemptCount;
  aState.mTable.SetAttempt(aRequest, attempt);
  ScheduleWakeUp(aContext, aState, aRequest);
  LogStep(aContext,
          aRequest,
          "asks the scheduler " + attempt.mScheduler.mName.mValue +
            (attempt.mIsIsolated ? " for a place alone" : " for a place"));
  aContext.Send(attempt.mScheduler, std::move(place));
}

void
EndAttempt(Context& aContext,
           RequestState& aState,
           RunningRequest& aRequest,
           PlacementResult aResult,
           const ServerName& aFailed)
{
  const Attempt attempt = aRequest.mAttempt;
  if (attempt.mId.mSequence == 0) {
    return;
  }
  const Phase phase = aRequest.mPhase;
  if (aResult != PlacementResult::kDone) {
    if (phase != Phase::kPlacing) {
      aContext.Emit(AbortCall{ attempt.mId });
    }
    if (HoldsDecodeMemory(phase)) {
      aState.mCancels.Add(
        aContext, attempt.mId, attempt.mServer.mName, attempt.mServer.mAddress);
    }
    if (HoldsPrefillMemory(phase)) {
      aState.mCancels.Add(aContext,
                          attempt.mId,
                          attempt.mPrefill.mName,
                          attempt.mPrefill.mAddress);
    }
  }
  aContext.Send(attempt.mScheduler,
                PlacementEnded{ attempt.mId,
                                aResult,
                                aFailed,
                                aContext.mNow - attempt.mStepStarted,
                                aRequest.mTokens });
  aState.mTable.SetAttempt(aRequest, Attempt{});
}

bool
MayRetry(const Context& aContext,
         const RequestState& aState,
         const RunningRequest& aRequest)
{
  const bool mustNotRetry = aRequest.mHasRecord && aRequest.mMayHaveRun;
  const bool isRefused =
    aState.mSuspects.IsRefused(aRequest.mRequest.mFingerprint);
  if (mustNotRetry || isRefused) {
    return false;
  }
  return aRequest.mClass.mMayWait ||
         (aRequest.mAttemptCount < aContext.mSettings.mPolicy.mMaxAttempts &&
          aState.mBudget.CanRetry());
}

void
RetryOrFail(Context& aContext,
            RequestState& aState,
            RunningRequest& aRequest,
            ErrorCode aCode,
            std::string aMessage)
{
  if (!MayRetry(aContext, aState, aRequest)) {
    FailRequest(aContext, aState, aRequest, aCode, std::move(aMessage));
    return;
  }
  const bool isPaid = aState.mBudget.TakeRetry();
  const bool mayWait = aRequest.mClass.mMayWait;
  const Duration backoff =
    isPaid ? BackoffOf(aRequest,
                       mayWait ? kMinMayWaitBackoff : kMinBackoff,
                       kMaxBackoff)
           : kMaxBackoff;
  ScheduleRetry(aContext, aState, aRequest, backoff);
}

Duration
TimeoutOf(const PolicySettings& aPolicy, const RunningRequest& aRequest)
{
  switch (aRequest.mPhase) {
    case Phase::kPlacing:
      return aRequest.mAttempt.mIsQueued ? Duration::max()
                                         : aPolicy.mPlacementTimeout;
    case Phase::kReserving:
      return aPolicy.mReserveTimeout;
    case Phase::kPrefilling:
      return aPolicy.mPrefillTimeout;
    case Phase::kTransferring:
      return aPolicy.mTransferTimeout;
    case Phase::kDecoding:
      return aPolicy.mTokenTimeout;
    case Phase::kForwarded:
    case Phase::kCalling:
    case Phase::kWaiting:
      return Duration::max();
  }
  return Duration::max();
}

Instant
StepTimerStart(const Attempt& aAttempt)
{
  return std::max(aAttempt.mStepStarted, aAttempt.mKeptAt);
}

void
ScheduleWakeUp(Context& aContext,
               RequestState& aState,
               RunningRequest& aRequest)
{
  Instant at = aRequest.mRequest.mDeadline;
  const Duration timeout = TimeoutOf(aContext.mSettings.mPolicy, aRequest);
  if (timeout != Duration::max()) {
    at = std::min(at, StepTimerStart(aRequest.mAttempt) + timeout);
  }
  if (aRequest.mPhase == Phase::kWaiting) {
    at = std::min(at, aRequest.mNextAttempt);
  }
  aState.mTable.SetWakeUp(aRequest, at);
}

} // namespace heatherfork::detail
