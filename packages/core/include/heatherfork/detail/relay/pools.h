#pragma once

#include <optional>

#include "heatherfork/configuration.h"
#include "heatherfork/routing.h"

/// Translates routing into the scheduler's configuration.
namespace heatherfork::detail {

/// Builds one pool per service, with the replicas as its servers, and one work
/// class per rank. The pool of an engine service is named as a model. Linear.
ConfigurationPtr
MakePoolConfiguration(const Routing& aRouting, const Replicas& aReplicas);

/// Name of the work class of a rank.
ClassName
ClassOfRank(int aRank);

/// Rank of requests where workspaces have keys; lower ones go first. The rank
/// of the workspace, or the route's without one, precedes the route's own.
int
RankWithWorkspace(int aRouteRank, std::optional<int> aWorkspaceRank);

} // namespace heatherfork::detail
