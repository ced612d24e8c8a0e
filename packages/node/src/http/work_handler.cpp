#include "heatherfork/detail/http/work_handler.h"

#include <ostream>

#include <spdlog/spdlog.h>

#include "heatherfork/detail/http/answer_watch.h"
#include "heatherfork/detail/http/http_input.h"
#include "heatherfork/detail/http/http_output.h"
#include "heatherfork/detail/http/request_reader.h"
#include "heatherfork/detail/json/json_reader.h"

namespace heatherfork::detail {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Interval at which a waiting thread checks that its caller is connected.
constexpr Duration kCallerCheckInterval = Milliseconds(100);

// After the deadline, for the answer that says that it has passed.
constexpr Duration kLateAnswerTimeout = Milliseconds(2000);

/// Writes one answer, as a single body or as an event stream.
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
    SendBody(mResponse, 200, "application/json", UnstreamedBody(aAnswer));
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

  std::string UnstreamedBody(const Answer& aAnswer) const
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

/// Removes a caller from the registry at the end of its scope.
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

/// Checks at kCallerCheckInterval whether the caller has disconnected.
class CallerMonitor
{
public:
  explicit CallerMonitor(HTTPServerRequest& aRequest)
    : mRequest(aRequest)
    , mNextCheck(EventLoop::Now() + kCallerCheckInterval)
  {
  }

  bool IsDisconnected()
  {
    const Instant now = EventLoop::Now();
    if (now < mNextCheck) {
      return false;
    }
    mNextCheck = now + kCallerCheckInterval;
    return IsClosedByPeer(mRequest);
  }

private:
  HTTPServerRequest& mRequest;
  Instant mNextCheck;
};

void
LogResult(const std::string& aRequestId,
          const Request& aRequest,
          std::string_view aResult,
          int aTokens,
          Instant aStartTime)
{
  spdlog::info("request={} tenant={} class={} result={} tokens={} took_ms={}",
               aRequestId,
               aRequest.mWorkspace.mValue,
               aRequest.mClass.mValue,
               aResult,
               aTokens,
               ToMilliseconds(EventLoop::Now() - aStartTime));
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
    Refuse(aRequest,
           aResponse,
           Error{ ErrorCode::kStarting, "this node has no configuration yet" });
    return;
  }
  const Configuration& configuration = *view->mConfiguration;
  const Workspace* workspace =
    FindWorkspaceByKey(configuration, BearerKey(aRequest));
  if (workspace == nullptr) {
    Refuse(aRequest,
           aResponse,
           Error{ ErrorCode::kUnauthorized,
                  "expected the key of a tenant as bearer" });
    return;
  }
  auto body = ReadBody(aRequest, mContext.mSettings);
  if (const Error* error = std::get_if<Error>(&body)) {
    Refuse(aRequest, aResponse, *error);
    return;
  }
  const CallerInput input{ aRequest.getURI(),
                           std::move(std::get<std::string>(body)) };
  const auto result =
    ReadRequest(input, configuration, *workspace, EventLoop::Now());
  if (const Error* error = std::get_if<Error>(&result)) {
    Refuse(aRequest, aResponse, *error);
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
  CallerMonitor monitor(aHttpRequest);
  const Instant startTime = EventLoop::Now();
  const auto watch =
    WatchAnswer(mContext,
                aHttpRequest,
                aRequest.mDeadline - startTime + kLateAnswerTimeout);
  bool hasTokens = false;
  mContext.mLoop.Post(CallerRequested{ caller, aRequest });
  while (true) {
    const auto output = mailbox->Pop(kCallerCheckInterval);
    if (writer.IsBroken() || monitor.IsDisconnected() || mailbox->IsOverrun()) {
      mContext.mLoop.Post(CallerGone{ caller });
      const bool isSlow = watch.HasExpired() || mailbox->IsOverrun();
      RecordLoss(requestId, aRequest, isSlow, startTime);
      return;
    }
    if (!output) {
      continue;
    }
    if (const auto* answer = std::get_if<AnswerCaller>(&*output)) {
      RecordAnswer(requestId, aRequest, answer->mAnswer, startTime);
      writer.Write(answer->mAnswer);
      if (watch.HasExpired()) {
        RecordLoss(requestId, aRequest, true, startTime);
      }
      return;
    }
    if (!hasTokens) {
      mContext.mMetrics.OnFirstToken(aRequest, EventLoop::Now() - startTime);
      hasTokens = true;
    }
    writer.Write(std::get<SendTokens>(*output));
  }
}

// A caller that reads too slowly is there; one that is gone is not.
void
WorkHandler::RecordLoss(const std::string& aRequestId,
                        const Request& aRequest,
                        bool aIsSlow,
                        Instant aStartTime)
{
  const char* result = aIsSlow ? "caller-slow" : "caller-gone";
  mContext.mMetrics.OnLostCaller(result);
  LogResult(aRequestId, aRequest, result, 0, aStartTime);
}

void
WorkHandler::RecordAnswer(const std::string& aRequestId,
                          const Request& aRequest,
                          const Answer& aAnswer,
                          Instant aStartTime)
{
  mContext.mMetrics.OnAnswer(aRequest, aAnswer, EventLoop::Now() - aStartTime);
  const std::string_view result =
    aAnswer.mOk ? "ok" : InfoOf(aAnswer.mError.mCode).mIdentifier;
  LogResult(aRequestId, aRequest, result, aAnswer.mTokens, aStartTime);
}

void
WorkHandler::Refuse(HTTPServerRequest& aRequest,
                    HTTPServerResponse& aResponse,
                    const Error& aError)
{
  const auto watch = WatchAnswer(mContext, aRequest);
  mContext.mMetrics.OnBadInput(aError.mCode);
  aResponse.setKeepAlive(false);
  SendError(aResponse, aError);
}

} // namespace heatherfork::detail
