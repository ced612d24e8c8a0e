#include "baseline_scheduler.h"

#include <algorithm>

namespace heatherfork::bench {

namespace {

bool
IsExcluded(const BackendServer& aServer, const PlaceRequest& aPlace)
{
  const auto& excluded = aPlace.mExcluded;
  return std::find(excluded.begin(), excluded.end(), aServer.mName) !=
         excluded.end();
}

} // namespace

BaselineScheduler::BaselineScheduler(BaselineKind aKind, std::uint64_t aSeed)
  : mKind(aKind)
  , mRandom(aSeed)
{
}

void
BaselineScheduler::On(detail::Context& aContext,
                      const NodeId& aFrom,
                      const PlaceRequest& aPlace)
{
  const bool isPlain = aPlace.mKind == RequestKind::kPlainCall;
  for (const Pool& pool : aContext.mConfiguration->mPools) {
    const bool serves =
      isPlain ? pool.mService == aPlace.mService : pool.mModel == aPlace.mModel;
    if (!serves) {
      continue;
    }
    const auto* prefill =
      isPlain ? nullptr : Choose(pool, Role::kPrefill, aPlace);
    const auto* server =
      Choose(pool, isPlain ? Role::kPlain : Role::kDecode, aPlace);
    if (server != nullptr && (isPlain || prefill != nullptr)) {
      aContext.Send(aFrom,
                    Placed{ aPlace.mAttempt,
                            isPlain ? ServerName{} : prefill->mName,
                            server->mName });
      return;
    }
  }
  aContext.Send(aFrom,
                PlacementRefused{ aPlace.mAttempt,
                                  Error{ ErrorCode::kNoBackendServer,
                                         "expected a server, found none" } });
}

void
BaselineScheduler::On(detail::Context&, const ReportReceived& aReport)
{
  mReports[aReport.mServer] = aReport.mReport;
}

const BackendServer*
BaselineScheduler::Choose(const Pool& aPool,
                          Role aRole,
                          const PlaceRequest& aPlace)
{
  Servers servers;
  for (const BackendServer& server : aPool.mServers) {
    if (server.mRole == aRole && !IsExcluded(server, aPlace)) {
      servers.push_back(&server);
    }
  }
  return servers.empty() ? nullptr : Next(servers, aRole);
}

const BackendServer*
BaselineScheduler::Next(const Servers& aServers, Role aRole)
{
  const auto random = [&] { return aServers[mRandom() % aServers.size()]; };
  const auto isLessLoaded = [&](const auto* aOne, const auto* aTwo) {
    return Load(*aOne) < Load(*aTwo);
  };
  switch (mKind) {
    case BaselineKind::kRandom:
      return random();
    case BaselineKind::kRoundRobin:
      return aServers[mNextIndex[aRole]++ % aServers.size()];
    case BaselineKind::kLeastReported:
      return *std::min_element(aServers.begin(), aServers.end(), isLessLoaded);
    case BaselineKind::kTwoChoices: {
      const auto* one = random();
      const auto* two = random();
      return isLessLoaded(two, one) ? two : one;
    }
  }
  return nullptr;
}

int
BaselineScheduler::Load(const BackendServer& aServer) const
{
  const auto it = mReports.find(aServer.mName);
  return it == mReports.end() ? 0 : it->second.mRunning + it->second.mQueued;
}

} // namespace heatherfork::bench
