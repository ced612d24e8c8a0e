#pragma once

#include "heatherfork/member.h"

/// Which nodes read the platform's store for the others. Load: a fleet grows,
/// or starts at once; the calls of the store must not grow with it.
namespace heatherfork {

/// Whether aNode is one of the few living nodes that read the store and tell
/// the others. Readers lie in different availability zones where there are
/// several.
bool
ReadsStore(const Members& aMembers, const NodeId& aNode);

} // namespace heatherfork
