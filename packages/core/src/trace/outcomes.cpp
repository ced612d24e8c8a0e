#include "heatherfork/detail/trace/outcomes.h"

#include "heatherfork/detail/text.h"
#include "heatherfork/detail/trace/bytes.h"

namespace heatherfork::detail::trace {

namespace {

std::string
Describe(const Answer& aAnswer)
{
  if (aAnswer.mOk) {
    return Concat("the body \"", aAnswer.mBody, "\"");
  }
  const ErrorInfo& info = InfoOf(aAnswer.mError.mCode);
  return Concat(info.mIdentifier, " (", ToString(info.mOutcome), ")");
}

std::string
Describe(const AnswerExpected& aExpected)
{
  if (aExpected.mOk) {
    return Concat("the body \"", aExpected.mBody, "\"");
  }
  return Concat(
    "error \"", aExpected.mError, "\", outcome \"", aExpected.mOutcome, "\"");
}

bool
Matches(const AnswerExpected& aExpected, const Answer& aAnswer)
{
  if (aExpected.mOk != aAnswer.mOk) {
    return false;
  }
  if (aAnswer.mOk) {
    return aExpected.mBody.empty() || aExpected.mBody == aAnswer.mBody;
  }
  const ErrorInfo& info = InfoOf(aAnswer.mError.mCode);
  const bool isSameError =
    aExpected.mError.empty() || aExpected.mError == info.mIdentifier;
  const bool isSameOutcome =
    aExpected.mOutcome.empty() || aExpected.mOutcome == ToString(info.mOutcome);
  return isSameError && isSameOutcome;
}

} // namespace

std::vector<std::string>
Check(const Observer& aObserver, const ArrivalsExpected& aExpected)
{
  const int arrivals = aObserver.ArrivalCount(
    WorkspaceKey{ aExpected.mWorkspace, aExpected.mKey });
  if (arrivals >= aExpected.mAtLeast && arrivals <= aExpected.mAtMost) {
    return {};
  }
  return { Concat("expected ",
                  aExpected.mAtLeast,
                  " to ",
                  aExpected.mAtMost,
                  " arrivals of key ",
                  aExpected.mKey.mValue,
                  ", found ",
                  arrivals) };
}

std::vector<std::string>
Check(const Observer& aObserver, const AnswerExpected& aExpected)
{
  const auto answers =
    aObserver.AnswersOf({ aExpected.mNode, aExpected.mCaller });
  const std::string callerName =
    Concat("caller ", NumberToHex(aExpected.mCaller));
  if (answers.size() != 1) {
    return { Concat(
      "expected one answer to ", callerName, ", found ", answers.size()) };
  }
  if (Matches(aExpected, answers.front())) {
    return {};
  }
  return { Concat("expected ",
                  Describe(aExpected),
                  " for ",
                  callerName,
                  ", found ",
                  Describe(answers.front())) };
}

std::vector<std::string>
Check(const Observer& aObserver, const NoAnswerExpected& aExpected)
{
  const auto answers =
    aObserver.AnswersOf({ aExpected.mNode, aExpected.mCaller });
  if (answers.empty()) {
    return {};
  }
  return { Concat("expected no answer to caller ",
                  NumberToHex(aExpected.mCaller),
                  ", found ",
                  Describe(answers.front())) };
}

std::vector<std::string>
Check(const Observer& aObserver, const InvariantsExpected&)
{
  return aObserver.Violations();
}

std::vector<std::string>
Check(const Observer& aObserver, const MemoryFreeExpected&)
{
  std::vector<std::string> mismatches;
  for (const std::string& attempt : aObserver.HeldAttempts()) {
    mismatches.push_back("expected no engine memory held, found " + attempt);
  }
  return mismatches;
}

} // namespace heatherfork::detail::trace
