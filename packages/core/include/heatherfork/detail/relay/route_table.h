#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "heatherfork/routing.h"

/// Finds the route of a request.
namespace heatherfork::detail {

/// The routes of one revision, by host.
class RouteTable
{
public:
  void Update(const RoutingPtr& aRouting);

  /// The route of this host with the longest prefix of the path; null when
  /// there is none. Logarithmic in the routes for each slash of the path.
  const Route* Find(const std::string& aHost, std::string_view aPath) const;

  /// Null when there is no such service.
  const RoutedService* FindService(const ServiceName& aName) const;

private:
  RoutingPtr mRouting;
  std::map<std::string, std::map<std::string, const Route*, std::less<>>>
    mByHost;
};

/// The service for one request: by weight, the same for the same draw.
const ServiceName&
ChooseService(const Route& aRoute, std::uint64_t aDraw);

} // namespace heatherfork::detail
