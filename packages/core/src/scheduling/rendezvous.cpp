#include "heatherfork/detail/scheduling/rendezvous.h"

#include <xxhash.h>

namespace heatherfork::detail {

std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate)
{
  const XXH64_hash_t seed = XXH3_64bits(aKey.data(), aKey.size());
  return XXH3_64bits_withSeed(aCandidate.data(), aCandidate.size(), seed);
}

} // namespace heatherfork::detail
