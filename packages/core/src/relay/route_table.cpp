#include "heatherfork/detail/relay/route_table.h"

#include <algorithm>

namespace heatherfork {

const Replica*
FindReplica(const Replicas& aReplicas, const ServerName& aName)
{
  const auto it =
    std::lower_bound(aReplicas.begin(),
                     aReplicas.end(),
                     aName,
                     [](const Replica& aReplica, const ServerName& aSought) {
                       return aReplica.mName < aSought;
                     });
  return it == aReplicas.end() || it->mName != aName ? nullptr : &*it;
}

namespace detail {

void
RouteTable::Update(const RoutingPtr& aRouting)
{
  mRouting = aRouting;
  mRoutesByHost.clear();
  for (const Route& route : mRouting->mRoutes) {
    mRoutesByHost[route.mHost][route.mPrefix] = &route;
  }
}

const Route*
RouteTable::Find(const std::string& aHost, std::string_view aPath) const
{
  const auto host = mRoutesByHost.find(aHost);
  if (host == mRoutesByHost.end()) {
    return nullptr;
  }
  for (std::size_t end = aPath.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : aPath.rfind('/', end - 1)) {
    const auto it = host->second.find(aPath.substr(0, end + 1));
    if (it != host->second.end()) {
      return it->second;
    }
  }
  return nullptr;
}

const RoutedService*
RouteTable::FindService(const ServiceName& aName) const
{
  if (mRouting == nullptr) {
    return nullptr;
  }
  const auto& services = mRouting->mServices;
  const auto it = std::find_if(
    services.begin(), services.end(), [&](const RoutedService& aService) {
      return aService.mName == aName;
    });
  return it == services.end() ? nullptr : &*it;
}

const ServiceName&
ChooseService(const Route& aRoute, std::uint64_t aHash)
{
  std::uint64_t total = 0;
  for (const RouteShare& share : aRoute.mShares) {
    total += static_cast<std::uint64_t>(std::max(0, share.mWeight));
  }
  std::uint64_t left = total == 0 ? 0 : aHash % total;
  for (const RouteShare& share : aRoute.mShares) {
    const auto weight = static_cast<std::uint64_t>(std::max(0, share.mWeight));
    if (left < weight) {
      return share.mService;
    }
    left -= weight;
  }
  return aRoute.mShares.front().mService;
}

} // namespace detail
} // namespace heatherfork
