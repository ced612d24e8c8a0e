#pragma once

#include <cstdint>
#include <string_view>

/// Hashes that are equal on all nodes and in all releases.
namespace heatherfork::detail {

/// 64-bit XXH3.
std::uint64_t
Hash(std::string_view aBytes, std::uint64_t aSeed = 0);

} // namespace heatherfork::detail
