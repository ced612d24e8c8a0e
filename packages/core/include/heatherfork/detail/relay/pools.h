#pragma once

#include "heatherfork/configuration.h"
#include "heatherfork/routing.h"

/// Translates routing into the scheduler's configuration.
namespace heatherfork::detail {

/// Builds one pool per service, with the replicas as its servers, and one work
/// class per rank. The pool of an engine service is named as a model. Linear.
ConfigurationPtr
MakePoolConfiguration(const Routing& aRouting, const Replicas& aReplicas);

/// Name of the work class for a route's rank.
ClassName
ClassOfRank(int aRank);

} // namespace heatherfork::detail
