#include "heatherfork/detail/requests/answering.h"

namespace heatherfork::detail {

namespace {

constexpr std::size_t kMaxRecordedAnswerBytes = 32UL << 20;
constexpr Duration kSuspectLifetime = Milliseconds(600000);

bool
NamesAnotherHome(const Context& aContext, const Request& aRequest)
{
  return aRequest.mHome.mIncarnation != 0 &&
         aRequest.mHome != aContext.mSettings.mSelf;
}

// Writes the outcome to the key records. Returns the recorded answer, which is
// the one to send.
Answer
RecordAnswer(Context& aContext,
             RequestState& aState,
             const RunningRequest& aRequest,
             const Answer& aAnswer)
{
  const Request& request = aRequest.mRequest;
  const WorkspaceKey key{ request.mWorkspace, request.mKey };
  const KeyRecordLimits limits = RecordLimits(aContext);
  const bool isNotRun =
    !aAnswer.mOk && InfoOf(aAnswer.mError.mCode).mOutcome == Outcome::kNotRun;
  if (isNotRun &&
      aState.mRecords.AddTombstone(key, request.mKeyExpires, limits)) {
    return aAnswer;
  }
  if (isNotRun) {
    const Answer unknown{
      false,
      Error{ ErrorCode::kOutcomeUnknown,
             "expected room to record that it has not run, found none" }
    };
    return aState.mRecords.Close(key, unknown, limits);
  }
  return aState.mRecords.Close(key, aAnswer, limits);
}

void
KeepAnswer(const Context& aContext,
           RequestState& aState,
           const RunningRequest& aRequest,
           const Answer& aAnswer)
{
  const Request& request = aRequest.mRequest;
  if (request.mKey.Empty() || !aAnswer.mOk) {
    return;
  }
  const PolicySettings& policy = aContext.mSettings.mPolicy;
  aState.mAnswers.Keep(
    WorkspaceKey{ request.mWorkspace, request.mKey },
    KeptAnswers::Entry{
      request.mFingerprint, aContext.mNow + policy.mAnswerRetention, aAnswer },
    policy.mMaxKeptAnswers);
}

} // namespace

KeyRecordLimits
RecordLimits(const Context& aContext)
{
  const ConfigurationPtr& configuration = aContext.mConfiguration;
  const std::size_t maxRecords =
    configuration == nullptr ? 0 : configuration->mLimits.mMaxRecords;
  return KeyRecordLimits{ maxRecords,
                          aContext.mSettings.mPolicy.mMaxTombstones,
                          kMaxRecordedAnswerBytes };
}

Instant
SuspectExpiry(const Context& aContext)
{
  return aContext.mNow + kSuspectLifetime;
}

namespace {

void
AnswerWaiters(Context& aContext,
              const RunningRequest& aRequest,
              const Answer& aAnswer)
{
  for (const Waiter& waiter : aRequest.mWaiters) {
    aContext.Emit(AnswerCaller{ waiter.mCaller, aAnswer });
  }
  for (const RemoteWaiter& waiter : aRequest.mRemoteWaiters) {
    aContext.Send(waiter.mNode, ForwardAnswer{ waiter.mForward, aAnswer });
  }
}

} // namespace

void
FinishRequest(Context& aContext,
              RequestState& aState,
              RunningRequest& aRequest,
              const Answer& aAnswer)
{
  Answer answer = aAnswer;
  if (aRequest.mHasRecord) {
    answer = RecordAnswer(aContext, aState, aRequest, aAnswer);
  } else if (aRequest.mPhase != Phase::kForwarded) {
    KeepAnswer(aContext, aState, aRequest, aAnswer);
  }
  AnswerWaiters(aContext, aRequest, answer);
  aState.mTable.Erase(aRequest.mNumber);
}

void
FailRequest(Context& aContext,
            RequestState& aState,
            RunningRequest& aRequest,
            ErrorCode aCode,
            std::string aMessage)
{
  // The last attempt has not run, but an earlier one may have.
  const bool isNotRun = InfoOf(aCode).mOutcome == Outcome::kNotRun;
  const ErrorCode code =
    isNotRun && aRequest.mMayHaveRun ? ErrorCode::kOutcomeUnknown : aCode;
  const Answer answer{ false, Error{ code, std::move(aMessage) } };
  FinishRequest(aContext, aState, aRequest, answer);
}

void
TimeOutWaiters(Context& aContext,
               RequestState& aState,
               RunningRequest& aRequest)
{
  const Answer answer{ false,
                       Error{ ErrorCode::kDeadlinePassed,
                              "expected an answer before the deadline" } };
  AnswerWaiters(aContext, aRequest, answer);
  aRequest.mRemoteWaiters.clear();
  while (!aRequest.mWaiters.empty()) {
    const CallerId caller = aRequest.mWaiters.back().mCaller;
    aState.mTable.RemoveWaiter(aRequest, caller);
  }
}

Answer
MakeRefusal(const Context& aContext,
            const Request& aRequest,
            ErrorCode aCode,
            std::string aMessage)
{
  const bool isNotRun = InfoOf(aCode).mOutcome == Outcome::kNotRun;
  if (isNotRun && NamesAnotherHome(aContext, aRequest)) {
    return Answer{ false,
                   Error{ ErrorCode::kHomeUnreachable,
                          "its home was not asked: " + aMessage } };
  }
  return Answer{ false, Error{ aCode, std::move(aMessage) } };
}

void
LogStep(Context& aContext, const RunningRequest& aRequest, std::string aText)
{
  const CallerId caller =
    aRequest.mWaiters.empty() ? 0 : aRequest.mWaiters.front().mCaller;
  aContext.Emit(LogDecision{ aRequest.mAttempt.mId, caller, std::move(aText) });
}

void
SendNewTokens(Context& aContext, RunningRequest& aRequest)
{
  for (Waiter& waiter : aRequest.mWaiters) {
    if (!waiter.mIsStreaming || waiter.mTokensSent == aRequest.mTokens) {
      continue;
    }
    aContext.Emit(SendTokens{ waiter.mCaller,
                              waiter.mTokensSent,
                              aRequest.mText.substr(waiter.mTextSent) });
    waiter.mTokensSent = aRequest.mTokens;
    waiter.mTextSent = aRequest.mText.size();
  }
}

} // namespace heatherfork::detail
