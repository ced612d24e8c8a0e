#pragma once

#include <cstdint>
#include <vector>

#include "heatherfork/request.h"

/// Prompt prefix hashes, with which a scheduler finds servers that have the
/// prefix in their cache.
namespace heatherfork::detail {

/// One hash for each of the prompt's first blocks, over the model, the adapter
/// and all bytes up to the block's end. Empty for a plain call. O(bytes
/// hashed).
std::vector<std::uint64_t>
PrefixHashes(const Request& aRequest);

} // namespace heatherfork::detail
