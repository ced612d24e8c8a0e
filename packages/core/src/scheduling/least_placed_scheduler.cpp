#include "heatherfork/detail/scheduling/least_placed_scheduler.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

bool
Serves(const Pool& aPool, const PlaceRequest& aPlace)
{
  if (aPlace.mKind == RequestKind::kCompletion) {
    return aPool.mModel == aPlace.mModel;
  }
  return aPool.mService == aPlace.mService;
}

bool
IsExcluded(const BackendServer& aServer, const PlaceRequest& aPlace)
{
  const auto& excluded = aPlace.mExcluded;
  return aServer.mLeaving ||
         std::find(excluded.begin(), excluded.end(), aServer.mName) !=
           excluded.end();
}

} // namespace

void
LeastPlacedScheduler::On(Context& aContext,
                         const NodeId& aFrom,
                         const PlaceRequest& aPlace)
{
  const bool isCompletion = aPlace.mKind == RequestKind::kCompletion;
  for (const Pool& pool : aContext.mConfiguration->mPools) {
    if (!Serves(pool, aPlace)) {
      continue;
    }
    const auto* prefill =
      isCompletion ? Choose(pool, Role::kPrefill, aPlace) : nullptr;
    const auto* server =
      Choose(pool, isCompletion ? Role::kDecode : Role::kPlain, aPlace);
    if (server == nullptr || (isCompletion && prefill == nullptr)) {
      continue;
    }
    const Placed placed{ aPlace.mAttempt,
                         isCompletion ? prefill->mName : ServerName{},
                         server->mName };
    mPlacements[aPlace.mAttempt] = HeldPlacement{ aFrom, placed };
    ++mLoad[placed.mPrefill];
    ++mLoad[placed.mServer];
    aContext.Send(aFrom, placed);
    return;
  }
  aContext.Send(
    aFrom,
    PlacementRefused{ aPlace.mAttempt,
                      Error{ ErrorCode::kNoBackendServer,
                             "expected a backend server that may take this "
                             "request, found none" } });
}

void
LeastPlacedScheduler::On(Context&, const NodeId&, const PlacementProgress&)
{
}

void
LeastPlacedScheduler::On(Context&, const NodeId&, const PlacementEnded& aEnded)
{
  Release(aEnded.mAttempt);
}

void
LeastPlacedScheduler::On(Context&, const ReportReceived&)
{
}

void
LeastPlacedScheduler::On(Context&, const TimerFired&)
{
}

void
LeastPlacedScheduler::OnNodeGone(Context&, const NodeId& aNode)
{
  std::vector<AttemptId> orphaned;
  for (const auto& [attempt, held] : mPlacements) {
    if (held.mFrom == aNode) {
      orphaned.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : orphaned) {
    Release(attempt);
  }
}

const BackendServer*
LeastPlacedScheduler::Choose(const Pool& aPool,
                             Role aRole,
                             const PlaceRequest& aPlace) const
{
  const BackendServer* best = nullptr;
  for (const BackendServer& server : aPool.mServers) {
    if (server.mRole != aRole || IsExcluded(server, aPlace)) {
      continue;
    }
    if (best == nullptr || Load(server.mName) < Load(best->mName)) {
      best = &server;
    }
  }
  return best;
}

int
LeastPlacedScheduler::Load(const ServerName& aServer) const
{
  const auto it = mLoad.find(aServer);
  return it == mLoad.end() ? 0 : it->second;
}

void
LeastPlacedScheduler::Release(const AttemptId& aAttempt)
{
  const auto it = mPlacements.find(aAttempt);
  if (it == mPlacements.end()) {
    return;
  }
  --mLoad[it->second.mPlaced.mPrefill];
  --mLoad[it->second.mPlaced.mServer];
  mPlacements.erase(it);
}

} // namespace heatherfork::detail
