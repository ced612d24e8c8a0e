#pragma once

#include <optional>

#include "heatherfork/detail/relay/route_table.h"
#include "heatherfork/detail/relay/workspace_table.h"
#include "heatherfork/error.h"
#include "heatherfork/relay_event.h"

/// Refusals that need no more than the head of a request.
namespace heatherfork::detail {

Error
NoRouteError(const RelayRequest& aRequest);

/// For a key that is missing or unknown.
Error
NoKeyError(const RelayRequest& aRequest);

/// Finds these errors before the body of a request has arrived.
class HeadCheck
{
public:
  /// Returns nothing if the request may be taken, or without a routing.
  std::optional<Error> FindError(const RoutingPtr& aRouting,
                                 const RelayRequest& aRequest);

private:
  RoutingPtr mRouting; ///< That the tables are of.
  RouteTable mRoutes;
  WorkspaceTable mWorkspaces;
};

} // namespace heatherfork::detail
