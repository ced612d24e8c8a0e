#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "heatherfork/routing.h"

/// Lookup of the route and the service of a request.
namespace heatherfork::detail {

/// The routes of one revision, by host.
class RouteTable
{
public:
  void Update(const RoutingPtr& aRouting);

  /// Whether a revision was set.
  bool IsKnown() const { return mRouting != nullptr; }

  /// The host's route with the longest matching path prefix; null when there is
  /// none. Logarithmic in the routes for each slash of the path.
  const Route* Find(const std::string& aHost, std::string_view aPath) const;

  /// Null when there is no such service.
  const RoutedService* FindService(const ServiceName& aName) const;

private:
  RoutingPtr mRouting;
  std::map<std::string, std::map<std::string, const Route*, std::less<>>>
    mRoutesByHost;
};

/// Selects a service by weight; equal hashes select the same service.
const ServiceName&
ChooseService(const Route& aRoute, std::uint64_t aHash);

} // namespace heatherfork::detail
