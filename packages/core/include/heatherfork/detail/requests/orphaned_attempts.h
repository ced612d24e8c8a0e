#pragma once

#include <map>

#include "heatherfork/detail/context.h"
#include "heatherfork/detail/requests/pending_cancels.h"

/// Attempts of dead nodes that still hold memory at engines.
namespace heatherfork::detail {

/// Cancels the attempts of a dead node at all engines. Rendezvous hashing
/// selects two alive nodes for each dead one, so that one remains if another
/// node dies at the same time. Cancels are idempotent.
class OrphanedAttempts
{
public:
  void OnNodeGone(Context& aContext,
                  const NodeId& aNode,
                  PendingCancels& aCancels);

private:
  /// Recently dead nodes with the time at which they were declared dead.
  std::map<NodeId, Instant> mGoneNodes;
};

} // namespace heatherfork::detail
