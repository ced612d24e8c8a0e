#include <algorithm>

#include "heatherfork/detail/relay/relay_log.h"

namespace heatherfork::detail {

namespace {

using Phase = OpenRequest::Phase;

// Callers that were refused meanwhile must not all come back at the moment at
// which the replica does.
constexpr int kSpreadDivisor = 4;
constexpr Duration kMaxSpread = Milliseconds(500);

} // namespace

bool
RelayRequests::WantsNoRequests(RelayContext& aContext,
                               const ServerName& aServer) const
{
  return mBackoffs.Left(aContext.Now(), aServer) > Duration{};
}

PlacementResult
RelayRequests::ResultOfRejection(RelayContext& aContext,
                                 const ServerName& aServer) const
{
  return WantsNoRequests(aContext, aServer) ? PlacementResult::kAbandoned
                                            : PlacementResult::kServerFailed;
}

std::optional<Duration>
RelayRequests::BackoffFor(RelayContext& aContext,
                          const OpenRequest& aRequest) const
{
  if (mBackoffs.Empty()) {
    return std::nullopt;
  }
  struct Pool
  {
    bool mTakesRequests = false;
    bool mIsInNeed = false;
    Duration mShortest = Duration::max();
  };
  std::map<Role, Pool> pools;
  for (const Replica& replica : aContext.mReplicas) {
    if (replica.mService != aRequest.mService || replica.mLeaving) {
      continue;
    }
    const auto& excluded = aRequest.mExcluded;
    const bool isExcluded =
      std::find(excluded.begin(), excluded.end(), replica.mName) !=
      excluded.end();
    const Duration left = mBackoffs.Left(aContext.Now(), replica.mName);
    Pool& pool = pools[replica.mRole];
    pool.mTakesRequests =
      pool.mTakesRequests || (left == Duration{} && !isExcluded);
    pool.mIsInNeed = pool.mIsInNeed || left > Duration{};
    // An excluded replica may take the request when it comes again.
    pool.mShortest = std::min(pool.mShortest, left);
  }
  std::optional<Duration> longest;
  for (const auto& [role, pool] : pools) {
    if (!pool.mTakesRequests && pool.mIsInNeed) {
      longest = std::max(longest, std::optional(pool.mShortest));
    }
  }
  return longest;
}

void
RelayRequests::RefuseForBackoff(RelayContext& aContext,
                                OpenRequest& aRequest,
                                Duration aBackoff)
{
  const std::string message = "all replicas of service \"" +
                              aRequest.mService.mValue +
                              "\" want no requests from this node";
  if (aRequest.mHasSentEvents) {
    AbortStream(aContext, aRequest, "reason=" + Quoted(message));
    return;
  }
  if (aRequest.mPossibleRuns > 0) {
    Refuse(aContext, aRequest, { ErrorCode::kOutcomeUnknown, message }, {});
    return;
  }
  const Duration spread = std::min(aBackoff / kSpreadDivisor, kMaxSpread);
  const Duration more(
    static_cast<std::int64_t>(aContext.mShared.mRandom() %
                              static_cast<std::uint64_t>(spread.count() + 1)));
  Refuse(aContext,
         aRequest,
         { ErrorCode::kServerBackoff, message },
         std::max(kMinRetryAfter, aBackoff + more));
}

void
RelayRequests::On(RelayContext& aContext, const RelayBackoffSeen& aEvent)
{
  const Replica* called = CalledReplica(aEvent.mCall);
  if (called == nullptr) {
    return;
  }
  if (!aEvent.mBackoff) {
    mBackoffs.OnMalformed(aContext, *called);
    return;
  }
  if (!mBackoffs.OnNamed(aContext, *called, *aEvent.mBackoff)) {
    return;
  }
  // What waits for replicas of this service may have none left.
  const ServiceName service = called->mService;
  std::vector<CallerId> hopeless;
  for (const auto& [caller, request] : mOpen) {
    if (request.mPhase == Phase::kPlacing && request.mService == service &&
        BackoffFor(aContext, request)) {
      hopeless.push_back(caller);
    }
  }
  for (const CallerId caller : hopeless) {
    OpenRequest& request = *Find(caller);
    EndPlacement(aContext, request, PlacementResult::kAbandoned, {}, 0);
    RefuseForBackoff(aContext, request, *BackoffFor(aContext, request));
  }
}

} // namespace heatherfork::detail
