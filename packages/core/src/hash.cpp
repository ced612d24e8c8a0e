#include "heatherfork/detail/hash.h"

#include <xxhash.h>

namespace heatherfork::detail {

std::uint64_t
Hash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace heatherfork::detail
