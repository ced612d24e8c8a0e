#include "fake_engine.h"

#include <algorithm>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>

namespace heatherfork::stand_in {

namespace {

constexpr microseconds kPrefillPerToken{ 150 };
constexpr microseconds kTransferPerToken{ 10 };

} // namespace

void
FakeEngine::Prefill(const Call& aCall, Responder& aResponder)
{
  const auto& body = *aCall.mJson;
  const auto prompt = TextOf(body, "prompt");
  const auto key = AttemptOf(aCall);
  CrashIfMarked(prompt);
  absl::Status status = key.status();
  WithLock([&](Instant aNow) {
    if (!mVersionOfModel.contains(TextOf(body, "model"))) {
      status = absl::NotFoundError("model not loaded");
    } else if (status.ok()) {
      const auto tokens = body.optValue("prompt_tokens", 0);
      status = mAttempts.BeginPrefill(*key, tokens, prompt, aNow);
    }
  });
  Json answer;
  if (status.ok()) {
    status = RunPrefill(*key, body, answer);
  }
  if (!status.ok()) {
    SendStatus(aResponder, status);
    return;
  }
  aResponder.Send(HttpStatus(status), ToText(answer));
}

absl::Status
FakeEngine::RunPrefill(AttemptKey aKey, const Json& aCall, Json& aAnswer)
{
  const auto prompt = TextOf(aCall, "prompt");
  const auto tokens = aCall.optValue("prompt_tokens", 0);
  mPrefillQueue.WaitForTurn(aCall.optValue("priority", 0));
  int cached = 0;
  WithLock([&](Instant aNow) {
    const auto scope =
      ScopeOf(TextOf(aCall, "model"), TextOf(aCall, "adapter"));
    const auto bytes = mCache.LookUpAndInsert(scope, prompt, aNow);
    const auto share =
      static_cast<double>(bytes) /
      static_cast<double>(std::max<std::size_t>(prompt.size(), 1));
    cached = static_cast<int>(share * tokens);
  });
  SimulateWork(kPrefillPerToken * (tokens - cached));
  mPrefillQueue.EndTurn();
  absl::Status status;
  WithLock([&](Instant aNow) { status = mAttempts.EndPrefill(aKey, aNow); });
  aAnswer.set("tokens", tokens);
  aAnswer.set("cached_tokens", cached);
  return status;
}

void
FakeEngine::Transfer(const Call& aCall, Responder& aResponder)
{
  const auto key = AttemptOf(aCall);
  if (!key.ok()) {
    aResponder.Send(400);
    return;
  }
  absl::StatusOr<Attempt> result;
  WithLock([&](Instant aNow) { result = mAttempts.Result(*key, aNow); });
  if (result.ok()) {
    SimulateWork(kTransferPerToken * result->mTokens);
    mFaults.WaitWhileStalled();
    WithLock([&](Instant aNow) { result = mAttempts.Result(*key, aNow); });
  }
  auto status = result.status();
  if (status.ok()) {
    status = SendKvCache(*aCall.mJson, *result);
  }
  if (status.ok()) {
    WithLock([&](Instant) { mAttempts.Release(*key); });
  }
  SendStatus(aResponder, status);
}

absl::Status
FakeEngine::SendKvCache(const Json& aCall, const Attempt& aResult)
{
  Json body;
  body.set("attempt", TextOf(aCall, "attempt"));
  body.set("tokens", aResult.mTokens);
  body.set("prompt", aResult.mPrompt);
  const auto text = ToText(body);
  try {
    const auto to = TextOf(aCall, "to");
    Poco::Net::HTTPClientSession session{ Poco::Net::SocketAddress(to) };
    Poco::Net::HTTPRequest request("POST", "/v1/import", "HTTP/1.1");
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(text.size()));
    session.sendRequest(request) << text;
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
      return absl::OkStatus();
    }
    return absl::UnavailableError("refused by the decode engine");
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

} // namespace heatherfork::stand_in
