#pragma once

#include "heatherfork/error.h"
#include "heatherfork/routing.h"

/// Errors that need no more than the head of a request.
namespace heatherfork::detail {

Error
NoRouteError(const RelayRequest& aRequest);

/// For a key that is missing or unknown.
Error
NoKeyError(const RelayRequest& aRequest);

} // namespace heatherfork::detail
