#include "heatherfork/detail/relay/pools.h"

#include <algorithm>
#include <set>

namespace heatherfork::detail {

namespace {

BackendServer
ToBackendServer(const Replica& aReplica, const RoutedService& aService)
{
  BackendServer server;
  server.mName = aReplica.mName;
  server.mAddress = aReplica.mAddress;
  server.mZone = aReplica.mZone;
  server.mRole = aService.mIsEngine ? aReplica.mRole : Role::kPlain;
  server.mSlots = aReplica.mSlots;
  server.mPieces = aService.mTokenCapacity;
  server.mLeaving = aReplica.mLeaving;
  return server;
}

} // namespace

ClassName
ClassOfRank(int aRank)
{
  return ClassName{ "rank-" + std::to_string(aRank) };
}

ConfigurationPtr
MakePoolConfiguration(const Routing& aRouting, const Replicas& aReplicas)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->mRevision = aRouting.mRevision;
  configuration->mLimits.mTokensPerPiece = 1;
  for (const RoutedService& service : aRouting.mServices) {
    Pool pool;
    pool.mName.mValue = service.mName.mValue;
    if (service.mIsEngine) {
      pool.mModel.mValue = service.mName.mValue;
    } else {
      pool.mService = service.mName;
    }
    for (const Replica& replica : aReplicas) {
      if (replica.mService == service.mName) {
        pool.mServers.push_back(ToBackendServer(replica, service));
      }
    }
    configuration->mPools.push_back(std::move(pool));
  }
  std::set<int> ranks;
  for (const Route& route : aRouting.mRoutes) {
    ranks.insert(route.mRank);
  }
  for (const RoutedWorkspace& routed : aRouting.mWorkspaces) {
    if (routed.mRank) {
      ranks.insert(*routed.mRank);
    }
    Workspace workspace;
    workspace.mName = routed.mName;
    configuration->mWorkspaces.push_back(std::move(workspace));
  }
  for (const int rank : ranks) {
    WorkClass workClass;
    workClass.mName = ClassOfRank(rank);
    workClass.mPriority = -rank;
    configuration->mClasses.push_back(std::move(workClass));
  }
  return configuration;
}

} // namespace heatherfork::detail
