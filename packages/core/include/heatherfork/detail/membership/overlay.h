#pragma once

#include <vector>

#include "heatherfork/member.h"

/// Selection of the neighbours that a node probes.
namespace heatherfork::detail {

/// Nodes at distances 1, 2, 4, 8, ... from aSelf on the ring ordered by name
/// hash, dead nodes excluded. Each node has as many probers as neighbours.
std::vector<NodeId>
Neighbours(const Members& aMembers, const NodeId& aSelf);

} // namespace heatherfork::detail
