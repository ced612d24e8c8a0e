#pragma once

#include <string>
#include <vector>

#include "heatherfork/routing.h"

/// Checks of routes, services and workspaces before they are in force.
namespace heatherfork::detail {

/// A fault of a routing configuration.
struct RoutingFinding
{
  enum class Kind
  {
    kError,   ///< Requests would fail or reach the wrong place.
    kWarning, ///< A part has no effect, or limits contradict each other.
  };
  Kind mKind = Kind::kError;
  std::string mText;

  auto operator<=>(const RoutingFinding&) const = default;
};

using RoutingFindings = std::vector<RoutingFinding>;

/// Returns all faults, of routes first.
RoutingFindings
CheckRouting(const Routing& aRouting);

/// Returns what differs, one text for each field. Keys of workspaces are only
/// counted.
std::vector<std::string>
DescribeRoutingChange(const Routing& aInForce, const Routing& aNext);

} // namespace heatherfork::detail
