#include "heatherfork/detail/membership/overlay.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace heatherfork::detail {

// Names are often numbered by availability zone and rack. Ordering by hash
// spreads one rack over the ring, so its failure removes few neighbours of any
// single node.
std::vector<NodeId>
Neighbours(const Members& aMembers, const NodeId& aSelf)
{
  std::vector<std::pair<std::uint64_t, NodeId>> ring;
  for (const Member& member : aMembers) {
    if (member.mStatus != MemberStatus::kDead) {
      const std::string& name = member.mNode.mName.mValue;
      ring.emplace_back(XXH3_64bits(name.data(), name.size()), member.mNode);
    }
  }
  std::sort(ring.begin(), ring.end());
  const auto self =
    std::find_if(ring.begin(), ring.end(), [&aSelf](const auto& aItem) {
      return aItem.second == aSelf;
    });
  std::vector<NodeId> neighbours;
  if (self == ring.end()) {
    return neighbours;
  }
  const auto at = static_cast<std::size_t>(self - ring.begin());
  for (std::size_t step = 1; step < ring.size(); step *= 2) {
    neighbours.push_back(ring[(at + step) % ring.size()].second);
  }
  return neighbours;
}

} // namespace heatherfork::detail
