#pragma once

#include <string>

#include "heatherfork/detail/relay/relay_requests.h"

/// Constants and logging shared by the sources of RelayRequests.
namespace heatherfork::detail {

/// Minimum retry delay in a refusal. A caller that retries sooner meets the
/// same load again.
inline constexpr Duration kMinRetryAfter = Milliseconds(100);

/// Time reserved before the caller's deadline for delivering the answer.
inline constexpr Duration kAnswerMargin = Milliseconds(20);

/// Formats a text as a single value of a log line.
std::string
Quoted(std::string aText);

/// Logs a decision on a request; aText holds "key=value" pairs.
void
LogRequestEvent(RelayContext& aContext,
                const char* aEvent,
                const OpenRequest& aRequest,
                std::string aText);

/// Logs and counts an outcome of a request.
void
RecordOutcome(RelayContext& aContext,
              RelayOutcome aOutcome,
              const OpenRequest& aRequest,
              std::string aText);

/// Logs replicas that are new, changed or gone.
void
LogReplicaChanges(RelayContext& aContext,
                  const Replicas& aOld,
                  const Replicas& aNew);

/// Logs that an answer named its replica as leaving.
void
LogReplicaLeaving(RelayContext& aContext, const ServerName& aServer);

} // namespace heatherfork::detail
