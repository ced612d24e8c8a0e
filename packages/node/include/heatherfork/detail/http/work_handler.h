#pragma once

#include <memory>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "heatherfork/detail/http/caller_server.h"

/// Handler of completions and calls of plain services.
namespace heatherfork::detail {

/// Reads one request, posts it to the event loop and writes the answer.
class WorkHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit WorkHandler(const HttpContext& aContext);

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override;

private:
  void Serve(const Request& aRequest,
             Poco::Net::HTTPServerRequest& aHttpRequest,
             Poco::Net::HTTPServerResponse& aResponse);
  void RecordAnswer(const std::string& aRequestId,
                    const Request& aRequest,
                    const Answer& aAnswer,
                    Instant aStartTime);
  void RecordLoss(const std::string& aRequestId,
                  const Request& aRequest,
                  bool aIsSlow,
                  Instant aStartTime);
  void Refuse(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse,
              const Error& aError);

  HttpContext mContext;
};

} // namespace heatherfork::detail
