#pragma once

#include <vector>

#include "heatherfork/member.h"

/// Selects the nodes that read the platform's store for the others, so that the
/// load on the store does not grow with the number of nodes, nor when all nodes
/// start at once.
namespace heatherfork {

/// The at most two alive nodes that read the store and inform the others. They
/// are in different availability zones where there are several.
std::vector<NodeId>
StoreReaders(const Members& aMembers);

bool
IsStoreReader(const Members& aMembers, const NodeId& aNode);

} // namespace heatherfork
