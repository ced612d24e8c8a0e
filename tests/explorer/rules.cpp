#include "rules.h"

namespace heatherfork::explorer {

namespace {

bool
HasNotRunError(const Exchange& aExchange)
{
  for (const Answer& answer : aExchange.mAnswers) {
    if (!answer.mOk &&
        InfoOf(answer.mError.mCode).mOutcome == Outcome::kNotRun) {
      return true;
    }
  }
  return false;
}

} // namespace

std::string
CheckRuns(const Callers& aCallers, const BackendServers& aServers)
{
  for (const Exchange& exchange : aCallers.Exchanges()) {
    if (aCallers.PlannedRequests()[exchange.mRequestIndex].mKind !=
        PlannedRequestKind::kReserve) {
      continue;
    }
    const std::string body = Callers::BodyOf(exchange.mRequestIndex);
    const int runs = aServers.RunsOf(body);
    if (runs > 1) {
      return body + " ran more than once";
    }
    if (runs > 0 && HasNotRunError(exchange)) {
      return body + " ran and its caller was told not-run";
    }
  }
  return "";
}

std::string
CheckAnswered(const Callers& aCallers)
{
  for (const Exchange& exchange : aCallers.Exchanges()) {
    if (exchange.mIsOpen && exchange.mAnswers.empty()) {
      return Callers::BodyOf(exchange.mRequestIndex) +
             " was not answered at n" + std::to_string(exchange.mNode);
    }
  }
  return "";
}

std::string
CheckMemory(BackendServers& aServers)
{
  const std::vector<std::string> held = aServers.HeldMemory();
  return held.empty() ? "" : "engine memory at the end: " + held.front();
}

} // namespace heatherfork::explorer
