#pragma once

#include <optional>
#include <string>
#include <variant>

#include <Poco/Net/HTTPServerRequest.h>

#include "heatherfork/configuration.h"
#include "heatherfork/error.h"
#include "heatherfork/settings.h"

/// Reads HTTP requests within size and time limits.
namespace heatherfork::detail {

/// Reads the body, or returns the error to answer the request with.
std::variant<std::string, Error>
ReadBody(Poco::Net::HTTPServerRequest& aRequest, const Settings& aSettings);

/// Returns the bearer key of the request, or an empty string.
std::string
BearerKey(const Poco::Net::HTTPServerRequest& aRequest);

/// Returns whether the peer has closed the connection. Does not block.
bool
IsClosedByPeer(Poco::Net::HTTPServerRequest& aRequest);

} // namespace heatherfork::detail
