#pragma once

#include <cstdint>
#include <string_view>

/// Rendezvous (highest random weight) hashing.
namespace heatherfork::detail {

/// Weight of a candidate for a key; the candidate with the largest weight is
/// selected.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

} // namespace heatherfork::detail
