#pragma once

#include <string>

#include "heatherfork/detail/relay/relay_requests.h"

/// What the parts of RelayRequests share.
namespace heatherfork::detail {

/// What a caller is told to wait at least after a refusal: below that it would
/// meet the same load again.
inline constexpr Duration kLeastRetryAfter = Milliseconds(100);

/// Room for the answer's way back before the caller's deadline.
inline constexpr Duration kAnswerMargin = Milliseconds(20);

/// Logs a decision on a request; aText are "key=value" pairs.
void
Note(RelayContext& aContext,
     const char* aEvent,
     const OpenRequest& aRequest,
     std::string aText);

/// Logs and counts an outcome of a request.
void
Note(RelayContext& aContext,
     RelayOutcome aOutcome,
     const OpenRequest& aRequest,
     std::string aText);

} // namespace heatherfork::detail
