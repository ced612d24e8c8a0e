#pragma once

#include <string>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "heatherfork/error.h"

/// Writes HTTP responses.
namespace heatherfork::detail {

/// {"error": {...}} (docs/protocols/caller.md).
std::string
ErrorBody(const Error& aError);

/// Sends a response with a Content-Length.
void
SendBody(Poco::Net::HTTPServerResponse& aResponse,
         int aStatus,
         const std::string& aContentType,
         const std::string& aBody);

/// Sends an error as JSON with its HTTP status.
void
SendError(Poco::Net::HTTPServerResponse& aResponse, const Error& aError);

} // namespace heatherfork::detail
