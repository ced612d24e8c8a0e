#pragma once

#include "heatherfork/detail/requests/request_state.h"

/// The steps of an attempt, and retries after a failed step.
namespace heatherfork::detail {

/// Starts a new attempt by requesting a placement from a scheduler.
void
StartAttempt(Context& aContext, RequestState& aState, RunningRequest& aRequest);

/// Ends the current attempt and releases its placement. Unless the attempt
/// succeeded, its open call is aborted, and the backend servers that may hold
/// memory for it get a cancel.
void
EndAttempt(Context& aContext,
           RequestState& aState,
           RunningRequest& aRequest,
           PlacementResult aResult,
           const ServerName& aFailed);

/// Whether the request's limits and the retry budget allow another attempt.
bool
MayRetry(const Context& aContext,
         const RequestState& aState,
         const RunningRequest& aRequest);

/// Schedules another attempt, or fails the request with the error. A request
/// that must not repeat and may have run is not retried, nor is a refused crash
/// suspect. A request that may wait is retried without a limit, with the
/// longest backoff once the retry budget is spent; others up to `mMaxAttempts`
/// within the budget.
void
RetryOrFail(Context& aContext,
            RequestState& aState,
            RunningRequest& aRequest,
            ErrorCode aCode,
            std::string aMessage);

/// Handles the scheduler's reply for the current attempt.
void
OnPlaced(Context& aContext,
         RequestState& aState,
         RunningRequest& aRequest,
         const Placed& aPlaced);
void
OnPlacementRefused(Context& aContext,
                   RequestState& aState,
                   RunningRequest& aRequest,
                   const PlacementRefused& aRefused);

/// Handles a backend server's reply to the current step.
void
OnStepReplied(Context& aContext,
              RequestState& aState,
              RunningRequest& aRequest,
              const ServerReplied& aReplied);

/// Handles tokens of the current attempt.
void
OnTokens(Context& aContext,
         RunningRequest& aRequest,
         const TokensReceived& aTokens);

/// Handles a step that has exceeded its timeout. It goes on if neither a resume
/// nor another attempt is allowed, and is asked again a timeout later.
void
OnStepTimeout(Context& aContext,
              RequestState& aState,
              RunningRequest& aRequest);

/// The timeout of the request's phase; Duration::max() if only the deadline
/// applies.
Duration
TimeoutOf(const PolicySettings& aPolicy, const RunningRequest& aRequest);

/// The time from which the step's timeout counts.
Instant
StepTimerStart(const Attempt& aAttempt);

/// Sets the wake-up time to the deadline, the step's timeout or the next
/// attempt, whichever comes first.
void
ScheduleWakeUp(Context& aContext,
               RequestState& aState,
               RunningRequest& aRequest);

} // namespace heatherfork::detail
