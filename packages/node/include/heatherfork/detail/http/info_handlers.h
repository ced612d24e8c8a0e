#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "heatherfork/detail/http/caller_server.h"

/// Handlers of requests that are answered without a backend server.
namespace heatherfork::detail {

/// GET /v1/entries.
class EntriesHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit EntriesHandler(const HttpContext& aContext);
  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override;

private:
  HttpContext mContext;
};

/// GET /healthz, /readyz and /metrics.
class HealthHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit HealthHandler(const HttpContext& aContext);
  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override;

private:
  HttpContext mContext;
};

/// GET /admin/status and /admin/explain/REQUEST.
class AdminHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit AdminHandler(const HttpContext& aContext);
  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override;

private:
  void SendStatus(Poco::Net::HTTPServerResponse& aResponse);
  void SendExplanation(const std::string& aRequestId,
                       Poco::Net::HTTPServerResponse& aResponse);

  HttpContext mContext;
};

/// Answers with a fixed error: unknown path or method not allowed.
class ErrorHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  ErrorHandler(const HttpContext& aContext, Error aError);
  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override;

private:
  HttpContext mContext;
  Error mError;
};

} // namespace heatherfork::detail
