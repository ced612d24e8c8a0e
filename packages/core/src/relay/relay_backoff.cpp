#include <algorithm>

#include "heatherfork/detail/relay/relay_log.h"

namespace heatherfork::detail {

namespace {

using Phase = OpenRequest::Phase;

// Spreads the retries of the callers that were refused during the backoff.
constexpr int kSpreadDivisor = 4;
constexpr Duration kMaxSpread = Milliseconds(500);

} // namespace

bool
RelayRequests::IsBackedOff(RelayContext& aContext,
                           const ServerName& aServer) const
{
  return mBackoffs.Left(aContext.Now(), aServer) > Duration{};
}

PlacementResult
RelayRequests::ResultOfRejection(RelayContext& aContext,
                                 const ServerName& aServer) const
{
  return IsBackedOff(aContext, aServer) ? PlacementResult::kAbandoned
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
    bool mIsAvailable = false;
    bool mHasBackoff = false;
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
    pool.mIsAvailable =
      pool.mIsAvailable || (left == Duration{} && !isExcluded);
    pool.mHasBackoff = pool.mHasBackoff || left > Duration{};
    // The caller's next attempt may use an excluded replica.
    pool.mShortest = std::min(pool.mShortest, left);
  }
  std::optional<Duration> longest;
  for (const auto& [role, pool] : pools) {
    if (!pool.mIsAvailable && pool.mHasBackoff) {
      longest = std::max(longest, std::optional(pool.mShortest));
    }
  }
  return longest;
}

void
RelayRequests::RefuseUntilBackoffEnds(RelayContext& aContext,
                                      OpenRequest& aRequest,
                                      Duration aBackoff)
{
  const std::string message = "all replicas of service \"" +
                              aRequest.mService.mValue +
                              "\" have asked this node to back off";
  const Duration spread = std::min(aBackoff / kSpreadDivisor, kMaxSpread);
  const Duration more(
    static_cast<std::int64_t>(aContext.mShared.mRandom() %
                              static_cast<std::uint64_t>(spread.count() + 1)));
  GiveUp(aContext,
         aRequest,
         { ErrorCode::kServerBackoff, message },
         std::max(kMinRetryAfter, aBackoff + more),
         { ErrorCode::kOutcomeUnknown, message });
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
  // Waiting requests of this service may have no replica left.
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
    RefuseUntilBackoffEnds(aContext, request, *BackoffFor(aContext, request));
  }
}

} // namespace heatherfork::detail
