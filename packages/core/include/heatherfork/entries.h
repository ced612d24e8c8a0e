#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "heatherfork/configuration.h"
#include "heatherfork/member.h"
#include "heatherfork/time.h"

/// Entry nodes for callers.
namespace heatherfork {

/// A query for entry nodes.
struct EntriesQuery
{
  ZoneName mZone;          ///< The caller's zone; empty if unknown.
  std::uint64_t mSeed = 0; ///< Differs for each answer.
  std::size_t mMaxEntries = 6;

  auto operator<=>(const EntriesQuery&) const = default;
};

/// Nodes that a caller may use until the answer expires.
struct Entries
{
  Revision mRevision = 0;
  Duration mValidFor{};
  Members mNodes; ///< In the order in which to try them.

  auto operator<=>(const Entries&) const = default;
};

/// Chooses alive nodes in several availability zones. After the first entry,
/// nodes in the caller's zone come first. If callers are spread evenly over the
/// zones, the first entries of all answers are spread evenly over the nodes.
Entries
EntriesFor(const Members& aMembers,
           const Configuration& aConfiguration,
           const EntriesQuery& aQuery);

} // namespace heatherfork
