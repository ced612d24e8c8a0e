#pragma once

#include "heatherfork/member.h"
#include "heatherfork/time.h"

/// Selection of the nodes that poll the configuration service.
namespace heatherfork::detail {

/// True when aNode is its availability zone's watcher: one alive or leaving
/// node per zone, chosen by rendezvous hashing over the zone's nodes and the
/// time slot. Zones change their watcher at different times.
bool
IsWatcher(const Members& aMembers,
          const NodeId& aNode,
          Instant aNow,
          Duration aSlot);

} // namespace heatherfork::detail
