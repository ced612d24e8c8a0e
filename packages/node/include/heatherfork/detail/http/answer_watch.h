#pragma once

#include <Poco/Net/HTTPServerRequest.h>

#include "heatherfork/detail/http/caller_server.h"

/// Limits the time that a caller has to read its answer.
namespace heatherfork::detail {

/// Shuts the connection down if the answer is not written within aTimeout. To
/// be kept while the answer is written.
ConnectionDeadlines::Watch
WatchAnswer(const HttpContext& aContext,
            Poco::Net::HTTPServerRequest& aRequest,
            Duration aTimeout);

/// For answers to requests that name no deadline.
ConnectionDeadlines::Watch
WatchAnswer(const HttpContext& aContext,
            Poco::Net::HTTPServerRequest& aRequest);

} // namespace heatherfork::detail
