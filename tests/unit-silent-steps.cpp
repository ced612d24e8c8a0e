#include <optional>
#include <string>
#include <vector>

#include "heatherfork/reducer.h"
#include "heatherfork/trace.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

const char* const kConfiguration =
  R"({"Event":{"node":"a","at":1700000000000000,"body":{"ConfigurationChecked":)"
  R"({"configuration":{"revision":"1","classes":[{"name":"chat"}],)"
  R"("models":[{"name":"m","version":"1","default_class":"chat"}],)"
  R"("pools":[{"name":"m","model":"m","minimum_prefill":1,"minimum_decode":1,)"
  R"("servers":[)"
  R"({"name":"p1","address":"10.0.2.1:80","role":"prefill","slots":4,"pieces":100},)"
  R"({"name":"p2","address":"10.0.2.2:80","role":"prefill","slots":4,"pieces":100},)"
  R"({"name":"d1","address":"10.0.3.1:80","role":"decode","slots":4,"pieces":100},)"
  R"({"name":"d2","address":"10.0.3.2:80","role":"decode","slots":4,"pieces":100}]}],)"
  R"("tenants":[{"name":"t"}]}}}}})";

// Retries that a node may spend before it has received a request.
constexpr int kInitialRetries = 10;

constexpr Duration kDeadline = Milliseconds(60000);

enum class Step : std::uint8_t
{
  kReserve,
  kPrefill,
  kTransfer,
  kDecode,
};

/// A node of its own with one request at a step.
class SilentStep
{
public:
  explicit SilentStep(int aMaxAttempts)
    : mReducer(Settings(aMaxAttempts))
  {
    const auto line = ParseTraceLine(kConfiguration);
    const auto& recorded = std::get<EventRecorded>(*line);
    mNow = recorded.mAt;
    Reduce(recorded.mBody, {});
  }

  static NodeSettings Settings(int aMaxAttempts)
  {
    NodeSettings settings;
    settings.mSelf = { { "a" }, 1 };
    settings.mZone = { "z" };
    settings.mPolicy.mMaxAttempts = aMaxAttempts;
    settings.mPolicy.mRetryBudgetPercent = 0;
    return settings;
  }

  void Reduce(EventBody aBody, Duration aAfter = Milliseconds(1))
  {
    mNow += aAfter;
    mEffects = mReducer.Reduce(Event{ mNow, std::move(aBody) });
    for (const Effect& effect : mEffects) {
      const auto* call = std::get_if<CallServer>(&effect);
      if (call != nullptr && !std::holds_alternative<CancelCall>(call->mCall)) {
        mCall = *call;
        ++mCalls;
      }
      mAborts += std::holds_alternative<AbortCall>(effect) ? 1 : 0;
      if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        mAnswers.push_back(*answer);
      }
    }
  }

  void Send(CallerId aCaller, bool aStream)
  {
    CallerRequested requested;
    requested.mCaller = aCaller;
    Request& request = requested.mRequest;
    request.mWorkspace = { "t" };
    request.mModel = { "m" };
    request.mClass = { "chat" };
    request.mDeadline = mNow + kDeadline;
    request.mBody = "prompt " + std::to_string(aCaller);
    request.mPromptTokens = 100;
    request.mMaxTokens = 2;
    request.mStream = aStream;
    request.mFingerprint = aCaller;
    Reduce(requested);
  }

  void Reply(CallStatus aStatus, int aTokens = 0)
  {
    ServerReplied replied{
      mCall.mAttempt, mCall.mServer, mCall.mCall, ServerReply{ aStatus }
    };
    replied.mReply.mTokens = aTokens;
    Reduce(replied);
  }

  void SpendRetryBudget()
  {
    for (int n = 0; n < kInitialRetries; ++n) {
      const CallerId caller = 100 + static_cast<CallerId>(n);
      Send(caller, false);
      Reply(CallStatus::kCancelled);
      Reduce(CallerGone{ caller });
    }
  }

  void Advance(Step aTo)
  {
    for (int step = 0; step < static_cast<int>(aTo); ++step) {
      Reply(CallStatus::kOk, 100);
    }
  }

  void ReceiveToken(int aOffset)
  {
    Reduce(TokensReceived{ mCall.mAttempt, aOffset, 1, "w " });
  }

  /// Lets the current step be silent for longer than its timeout.
  void StaySilent()
  {
    mAborts = 0;
    mCalls = 0;
    Reduce(TimerFired{}, Milliseconds(11000));
  }

  /// Ends the request from the current step on.
  void Complete(Step aFrom, int aTokens)
  {
    for (int step = static_cast<int>(aFrom);
         step < static_cast<int>(Step::kDecode);
         ++step) {
      Reply(CallStatus::kOk, 100);
    }
    for (int n = aTokens; n < 2; ++n) {
      ReceiveToken(n);
    }
    Reply(CallStatus::kOk, 2);
  }

  bool HasAnswered() const
  {
    return mAnswers.size() == 1 && mAnswers.front().mAnswer.mOk &&
           mAnswers.front().mAnswer.mBody == "w w ";
  }

  Reducer mReducer;
  Instant mNow{};
  Effects mEffects;
  CallServer mCall;
  int mCalls = 0;
  int mAborts = 0;
  std::vector<AnswerCaller> mAnswers;
};

/// A silent step, and whether the node may give it up.
struct Row
{
  const char* mName;
  Step mStep;
  int mMaxAttempts;
  bool mHasBudget;
  bool mIsStarted; ///< A streaming caller has received a token.
  bool mIsEnded;
};

const Row kRows[] = {
  { "reserve", Step::kReserve, 3, true, false, true },
  { "reserve, last attempt", Step::kReserve, 1, true, false, false },
  { "reserve, no budget", Step::kReserve, 3, false, false, false },
  { "prefill", Step::kPrefill, 3, true, false, true },
  { "prefill, last attempt", Step::kPrefill, 1, true, false, false },
  { "prefill, no budget", Step::kPrefill, 3, false, false, false },
  { "transfer, last attempt", Step::kTransfer, 1, true, false, false },
  { "transfer, no budget", Step::kTransfer, 3, false, false, false },
  { "decode", Step::kDecode, 3, true, false, true },
  { "decode, last attempt", Step::kDecode, 1, true, false, false },
  { "decode, no budget", Step::kDecode, 3, false, false, false },
  { "stream that has started", Step::kDecode, 3, true, true, false },
};

/// Brings the request of a row to the silent step. A decode has used its
/// resume, after which a stream has started.
void
Begin(SilentStep& aStep, const Row& aRow)
{
  if (!aRow.mHasBudget) {
    aStep.SpendRetryBudget();
    aStep.mAnswers.clear();
  }
  aStep.Send(1, aRow.mIsStarted);
  aStep.Advance(aRow.mStep);
  if (aRow.mStep != Step::kDecode) {
    return;
  }
  aStep.StaySilent();
  if (aRow.mIsStarted) {
    aStep.ReceiveToken(0);
  }
}

} // namespace

TEST_GROUP(SilentSteps){};

// Guards against the end of a live step whose request has no other attempt.
TEST(SilentSteps, SilentStepEndsOnlyIfItsRequestMayGoOn)
{
  for (const Row& row : kRows) {
    SilentStep step(row.mMaxAttempts);
    Begin(step, row);
    step.StaySilent();
    CHECK_EQUAL_TEXT(row.mIsEnded ? 1 : 0, step.mAborts, row.mName);
    LONGS_EQUAL_TEXT(0, step.mAnswers.size(), row.mName);
  }
}

TEST(SilentSteps, KeptStepAnswersItsCaller)
{
  for (const Row& row : kRows) {
    if (row.mIsEnded) {
      continue;
    }
    SilentStep step(row.mMaxAttempts);
    Begin(step, row);
    step.StaySilent();
    step.StaySilent();
    step.Complete(row.mStep, row.mIsStarted ? 1 : 0);
    CHECK_TEXT(step.HasAnswered(), row.mName);
  }
}

TEST(SilentSteps, KeptStepEndsAtTheDeadline)
{
  for (const Row& row : kRows) {
    if (row.mIsEnded) {
      continue;
    }
    SilentStep step(row.mMaxAttempts);
    Begin(step, row);
    step.StaySilent();
    step.Reduce(TimerFired{}, kDeadline);
    LONGS_EQUAL_TEXT(1, step.mAnswers.size(), row.mName);
    CHECK_TEXT(!step.mAnswers.front().mAnswer.mOk, row.mName);
    CHECK_EQUAL_TEXT(1, step.mAborts, row.mName);
  }
}

// One resume at the same engine is allowed without any limit being asked.
TEST(SilentSteps, SilentDecodeIsResumedOnceWithoutBudget)
{
  SilentStep step(1);
  step.SpendRetryBudget();
  step.mAnswers.clear();
  step.Send(1, true);
  step.Advance(Step::kDecode);
  step.ReceiveToken(0);
  step.StaySilent();
  CHECK_EQUAL(1, step.mAborts);
  CHECK_EQUAL(1, step.mCalls);
  step.Complete(Step::kDecode, 1);
  CHECK_TRUE(step.HasAnswered());
}
