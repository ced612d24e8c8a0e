#include "heatherfork/detail/http/caller_server.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "heatherfork/detail/http/caller_connection.h"
#include "heatherfork/detail/http/info_handlers.h"
#include "heatherfork/detail/http/work_handler.h"

namespace heatherfork::detail {

namespace {

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPServerRequest;

constexpr int kMinThreads = 2;
constexpr int kThreadIdleSeconds = 10;
constexpr int kListenBacklog = 1024;
constexpr int kThreadStackBytes = 256 * 1024;

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit HandlerFactory(const HttpContext& aContext)
    : mContext(aContext)
  {
  }

  HTTPRequestHandler* createRequestHandler(
    const HTTPServerRequest& aRequest) override
  {
    const std::string& path = aRequest.getURI();
    const bool isPost = aRequest.getMethod() == "POST";
    const bool isGet = aRequest.getMethod() == "GET";
    const bool isWork =
      path == "/v1/completions" || path.starts_with("/v1/services/");
    if (isWork && isPost) {
      return new WorkHandler(mContext);
    }
    if (path == "/v1/entries" && isGet) {
      return new EntriesHandler(mContext);
    }
    if (path.starts_with("/admin/") && isGet) {
      return new AdminHandler(mContext);
    }
    const bool isHealth =
      path == "/healthz" || path == "/readyz" || path == "/metrics";
    if (isHealth && isGet) {
      return new HealthHandler(mContext);
    }
    if (isWork || isHealth || path == "/v1/entries") {
      return new ErrorHandler(
        mContext,
        Error{ ErrorCode::kMethodNotAllowed,
               isWork ? "expected POST" : "expected GET" });
    }
    return new ErrorHandler(mContext,
                            Error{ ErrorCode::kNotFound,
                                   "expected /v1/entries, /v1/completions or "
                                   "/v1/services/SERVICE/CALL" });
  }

private:
  HttpContext mContext;
};

} // namespace

CallerServer::CallerServer(HttpContext aContext)
  : mContext(aContext)
  , mThreads(kMinThreads,
             std::max(kMinThreads, aContext.mSettings.mMaxCallerThreads),
             kThreadIdleSeconds,
             kThreadStackBytes)
{
}

void
CallerServer::Start()
{
  const Settings& settings = mContext.mSettings;
  Poco::Net::ServerSocket socket(
    Poco::Net::SocketAddress(settings.mCallerListen.mValue), kListenBacklog);
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(settings.mMaxCallerThreads);
  params->setMaxQueued(settings.mMaxCallerThreads);
  params->setTimeout(Poco::Timespan(settings.mBodyTimeout.count()));
  params->setKeepAlive(true);
  const ConnectionContext context{ params,
                                   new HandlerFactory(mContext),
                                   mContext.mDeadlines,
                                   mContext.mMetrics,
                                   settings.mBodyTimeout };
  mServer = std::make_unique<Poco::Net::TCPServer>(
    new CallerConnectionFactory(context), mThreads, socket, params);
  mServer->start();
}

void
CallerServer::Stop()
{
  if (mServer == nullptr) {
    return;
  }
  mServer->stop();
  mContext.mDeadlines.CloseAll();
  mThreads.joinAll();
}

} // namespace heatherfork::detail
