#pragma once

#include "heatherfork/detail/requests/request_state.h"

/// Answers to requests, and the records that are written with them.
namespace heatherfork::detail {

/// Records the answer, sends it to all waiters, and removes the request.
void
FinishRequest(Context& aContext,
              RequestState& aState,
              RunningRequest& aRequest,
              const Answer& aAnswer);

/// Ends a request with an error. For a request that must not repeat, the
/// outcome "not run" is reported only after its tombstone is written.
void
FailRequest(Context& aContext,
            RequestState& aState,
            RunningRequest& aRequest,
            ErrorCode aCode,
            std::string aMessage);

/// Answers all waiters with `kDeadlinePassed` and removes them. The request
/// keeps running.
void
TimeOutWaiters(Context& aContext,
               RequestState& aState,
               RunningRequest& aRequest);

/// The answer that refuses a request which was never accepted. If the request
/// names another home, the outcome "not run" is replaced by
/// `kHomeUnreachable`: only the home can tell that a request has not run.
Answer
MakeRefusal(const Context& aContext,
            const Request& aRequest,
            ErrorCode aCode,
            std::string aMessage);

/// Logs a decision about the request's current attempt.
void
LogStep(Context& aContext, const RunningRequest& aRequest, std::string aText);

/// Sends each streaming caller the tokens that it has not received yet.
void
SendNewTokens(Context& aContext, RunningRequest& aRequest);

} // namespace heatherfork::detail
