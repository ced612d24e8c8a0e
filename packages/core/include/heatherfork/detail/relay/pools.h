#pragma once

#include "heatherfork/configuration.h"
#include "heatherfork/routing.h"

/// The scheduler's view of routed services.
namespace heatherfork::detail {

/// A pool for each service, its servers the replicas; an engine's pool is named
/// as a model. One class for each rank. Linear.
ConfigurationPtr
PoolsOf(const Routing& aRouting, const Replicas& aReplicas);

/// The class of a rank.
ClassName
ClassOfRank(int aRank);

} // namespace heatherfork::detail
