#include "heatherfork/detail/http/work_handler.h"

#include <ostream>

#include <spdlog/spdlog.h>

#include "heatherfork/detail/http/http_input.h"
#include "heatherfork/detail/http/http_output.h"
#include "heatherfork/detail/http/request_reader.h"
#include "heatherfork/detail/json/json_reader.h"

namespace heatherfork::detail {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// How often a waiting thread looks whether its caller is still there.
constexpr Duration kCallerCheckInterval = Milliseconds(100);

/// Writes one answer, whole or streamed.
class AnswerWriter
{
public:
  AnswerWriter(const Request& aRequest,
               std::string aRequestId,
               HTTPServerResponse& aResponse)
    : mRequest(aRequest)
    , mRequestId(std::move(aRequestId))
    , mResponse(aResponse)
  {
  }

  void Write(const SendTokens& aTokens)
  {
    BeginStream();
    Poco::JSON::Object object;
    object.set("offset", aTokens.mOffset);
    object.set("text", aTokens.mText);
    *mStream << "data: " << ToText(object) << "\n\n" << std::flush;
  }

  void Write(const Answer& aAnswer)
  {
    if (mRequest.mStream && (aAnswer.mOk || mStream != nullptr)) {
      EndStream(aAnswer);
      return;
    }
    if (!aAnswer.mOk) {
      SendError(mResponse, aAnswer.mError);
      return;
    }
    SendBody(mResponse, 200, "application/json", WholeBody(aAnswer));
  }

  bool IsBroken() const { return mStream != nullptr && !mStream->good(); }

private:
  void BeginStream()
  {
    if (mStream != nullptr) {
      return;
    }
    mResponse.setContentType("text/event-stream");
    mResponse.setChunkedTransferEncoding(true);
    mStream = &mResponse.send();
  }

  void EndStream(const Answer& aAnswer)
  {
    BeginStream();
    if (!aAnswer.mOk) {
      *mStream << "event: error\ndata: " << ErrorBody(aAnswer.mError) << "\n\n";
      return;
    }
    Poco::JSON::Object object;
    object.set("tokens", aAnswer.mTokens);
    object.set("request", mRequestId);
    *mStream << "event: end\ndata: " << ToText(object) << "\n\n";
    mStream->flush();
  }

  std::string WholeBody(const Answer& aAnswer) const
  {
    if (mRequest.mKind == RequestKind::kPlainCall) {
      return aAnswer.mBody;
    }
    Poco::JSON::Object object;
    object.set("text", aAnswer.mBody);
    object.set("tokens", aAnswer.mTokens);
    object.set("request", mRequestId);
    return ToText(object);
  }

  const Request& mRequest;
  const std::string mRequestId;
  HTTPServerResponse& mResponse;
  std::ostream* mStream = nullptr;
};

/// Removes a caller from the registry when its thread leaves.
class CallerGuard
{
public:
  CallerGuard(CallerRegistry& aCallers, CallerId aCaller)
    : mCallers(aCallers)
    , mCaller(aCaller)
  {
  }
  CallerGuard(const CallerGuard&) = delete;
  CallerGuard& operator=(const CallerGuard&) = delete;
  ~CallerGuard() { mCallers.Remove(mCaller); }

private:
  CallerRegistry& mCallers;
  CallerId mCaller;
};

/// Looks from time to time whether the caller is still there.
class CallerWatch
{
public:
  explicit CallerWatch(HTTPServerRequest& aRequest)
    : mRequest(aRequest)
    , mNextLook(EventLoop::Now() + kCallerCheckInterval)
  {
  }

  bool IsGone()
  {
    const Instant now = EventLoop::Now();
    if (now < mNextLook) {
      return false;
    }
    mNextLook = now + kCallerCheckInterval;
    return IsClosedByPeer(mRequest);
  }

private:
  HTTPServerRequest& mRequest;
  Instant mNextLook;
};

void
LogResult(const std::string& aRequestId,
          const Request& aRequest,
          std::string_view aResult,
          int aTokens,
          Instant aBegan)
{
  spdlog::info("request={} tenant={} class={} result={} tokens={} took_ms={}",
               aRequestId,
               aRequest.mWorkspace.mValue,
               aRequest.mClass.mValue,
               aResult,
               aTokens,
               ToMilliseconds(EventLoop::Now() - aBegan));
}

} // namespace

WorkHandler::WorkHandler(const HttpContext& aContext)
  : mContext(aContext)
{
}

void
WorkHandler::handleRequest(HTTPServerRequest& aRequest,
                           HTTPServerResponse& aResponse)
{
  const NodeViewPtr view = mContext.mView.Get();
  if (view->mConfiguration == nullptr) {
    Refuse(aResponse,
           Error{ ErrorCode::kStarting, "this node has no configuration yet" });
    return;
  }
  const Configuration& configuration = *view->mConfiguration;
  const Workspace* workspace =
    FindWorkspaceByKey(configuration, BearerKey(aRequest));
  if (workspace == nullptr) {
    Refuse(aResponse,
           Error{ ErrorCode::kUnauthorized,
                  "expected the key of a tenant as bearer" });
    return;
  }
  auto body = ReadBody(aRequest, mContext.mSettings);
  if (const Error* error = std::get_if<Error>(&body)) {
    Refuse(aResponse, *error);
    return;
  }
  const CallerInput input{ aRequest.getURI(),
                           std::move(std::get<std::string>(body)) };
  const auto result =
    ReadRequest(input, configuration, *workspace, EventLoop::Now());
  if (const Error* error = std::get_if<Error>(&result)) {
    Refuse(aResponse, *error);
    return;
  }
  Serve(std::get<Request>(result), aRequest, aResponse);
}

void
WorkHandler::Serve(const Request& aRequest,
                   HTTPServerRequest& aHttpRequest,
                   HTTPServerResponse& aResponse)
{
  const auto [caller, mailbox] = mContext.mCallers.Add();
  const CallerGuard guard(mContext.mCallers, caller);
  const std::string requestId =
    ToHex(mContext.mSettings.mNode.mSelf.mIncarnation) + "-" + ToHex(caller);
  aResponse.set("X-Request-Id", requestId);
  AnswerWriter writer(aRequest, requestId, aResponse);
  CallerWatch watch(aHttpRequest);
  const Instant began = EventLoop::Now();
  bool hasTokens = false;
  mContext.mLoop.Post(CallerRequested{ caller, aRequest });
  while (true) {
    const auto output = mailbox->Pop(kCallerCheckInterval);
    if (writer.IsBroken() || watch.IsGone() || mailbox->IsOverrun()) {
      mContext.mLoop.Post(CallerGone{ caller });
      LogResult(requestId, aRequest, "caller-gone", 0, began);
      return;
    }
    if (!output) {
      continue;
    }
    if (const auto* answer = std::get_if<AnswerCaller>(&*output)) {
      Conclude(requestId, aRequest, answer->mAnswer, began);
      writer.Write(answer->mAnswer);
      return;
    }
    if (!hasTokens) {
      mContext.mMetrics.OnFirstToken(aRequest, EventLoop::Now() - began);
      hasTokens = true;
    }
    writer.Write(std::get<SendTokens>(*output));
  }
}

void
WorkHandler::Conclude(const std::string& aRequestId,
                      const Request& aRequest,
                      const Answer& aAnswer,
                      Instant aBegan)
{
  mContext.mMetrics.OnAnswer(aRequest, aAnswer, EventLoop::Now() - aBegan);
  const std::string_view result =
    aAnswer.mOk ? "ok" : InfoOf(aAnswer.mError.mCode).mIdentifier;
  LogResult(aRequestId, aRequest, result, aAnswer.mTokens, aBegan);
}

void
WorkHandler::Refuse(HTTPServerResponse& aResponse, const Error& aError)
{
  mContext.mMetrics.OnBadInput(aError.mCode);
  aResponse.setKeepAlive(false);
  SendError(aResponse, aError);
}

} // namespace heatherfork::detail
