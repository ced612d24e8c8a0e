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

// Weight of a workspace with the mean rate, or without a limit. Whole numbers
// around it are fine enough for rates a hundred times smaller.
constexpr int kUnitWeight = 100;
constexpr double kMaxWeight = 1000000;

double
MeanRate(const std::vector<RoutedWorkspace>& aWorkspaces)
{
  double sum = 0;
  int count = 0;
  for (const RoutedWorkspace& workspace : aWorkspaces) {
    sum += workspace.mQuota.mRate;
    count += workspace.mQuota.mRate > 0 ? 1 : 0;
  }
  return count == 0 ? 0 : sum / count;
}

/// The share of a workspace under contention, as of its rate.
int
WeightOf(const WorkspaceQuota& aQuota, double aMeanRate)
{
  if (aQuota.mRate <= 0 || aMeanRate <= 0) {
    return kUnitWeight;
  }
  return static_cast<int>(
    std::clamp(aQuota.mRate / aMeanRate * kUnitWeight, 1.0, kMaxWeight));
}

/// Requests without a key share what one workspace gets.
std::vector<Workspace>
MakeWorkspaces(const std::vector<RoutedWorkspace>& aWorkspaces)
{
  std::vector<Workspace> workspaces;
  if (aWorkspaces.empty()) {
    return workspaces;
  }
  const double mean = MeanRate(aWorkspaces);
  Workspace anonymous;
  anonymous.mWeight = kUnitWeight;
  workspaces.push_back(std::move(anonymous));
  for (const RoutedWorkspace& routed : aWorkspaces) {
    Workspace workspace;
    workspace.mName = routed.mName;
    workspace.mWeight = WeightOf(routed.mQuota, mean);
    workspaces.push_back(std::move(workspace));
  }
  return workspaces;
}

std::set<int>
RanksOf(const Routing& aRouting)
{
  std::set<int> routes;
  for (const Route& route : aRouting.mRoutes) {
    routes.insert(route.mRank);
  }
  if (!aRouting.mNeedsKeys) {
    return routes;
  }
  std::set<std::optional<int>> workspaces{ std::nullopt };
  for (const RoutedWorkspace& workspace : aRouting.mWorkspaces) {
    workspaces.insert(workspace.mRank);
  }
  std::set<int> ranks;
  for (const int route : routes) {
    for (const std::optional<int>& workspace : workspaces) {
      ranks.insert(RankWithWorkspace(route, workspace));
    }
  }
  return ranks;
}

} // namespace

ClassName
ClassOfRank(int aRank)
{
  return ClassName{ "rank-" + std::to_string(aRank) };
}

int
RankWithWorkspace(int aRouteRank, std::optional<int> aWorkspaceRank)
{
  constexpr int kMaxRank = 999;
  const int route = std::clamp(aRouteRank, 0, kMaxRank);
  const int first = std::clamp(aWorkspaceRank.value_or(route), 0, kMaxRank);
  return first * (kMaxRank + 1) + route;
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
  const std::set<int> ranks = RanksOf(aRouting);
  configuration->mWorkspaces = MakeWorkspaces(aRouting.mWorkspaces);
  for (const int rank : ranks) {
    WorkClass workClass;
    workClass.mName = ClassOfRank(rank);
    workClass.mPriority = -rank;
    configuration->mClasses.push_back(std::move(workClass));
  }
  return configuration;
}

} // namespace heatherfork::detail
