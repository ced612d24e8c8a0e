#include "heatherfork/store_readers.h"

#include <algorithm>

#include "heatherfork/detail/scheduling/rendezvous.h"
#include "heatherfork/duty_members.h"

namespace heatherfork {

namespace {

/// The member with the highest rendezvous weight among those that aFilter
/// accepts; null when it accepts none.
template<class Filter>
const Member*
HighestWeighted(const std::vector<const Member*>& aMembers,
                const Filter& aFilter)
{
  const Member* best = nullptr;
  std::uint64_t maxWeight = 0;
  for (const Member* member : aMembers) {
    if (!aFilter(*member)) {
      continue;
    }
    const std::uint64_t weight =
      detail::RendezvousWeight("store", member->mNode.mName.mValue);
    if (best == nullptr || weight > maxWeight) {
      best = member;
      maxWeight = weight;
    }
  }
  return best;
}

} // namespace

// With two readers the other nodes stay up to date when one of them fails. A
// node that gets updates from neither reads the store itself.
std::vector<NodeId>
StoreReaders(const Members& aMembers)
{
  const std::vector<const Member*> duty = DutyMembers(aMembers);
  const Member* first =
    HighestWeighted(duty, [](const Member&) { return true; });
  if (first == nullptr) {
    return {};
  }
  const Member* second = HighestWeighted(
    duty, [&](const Member& aMember) { return aMember.mZone != first->mZone; });
  if (second == nullptr) {
    second = HighestWeighted(
      duty, [&](const Member& aMember) { return &aMember != first; });
  }
  std::vector<NodeId> readers{ first->mNode };
  if (second != nullptr) {
    readers.push_back(second->mNode);
  }
  return readers;
}

bool
IsStoreReader(const Members& aMembers, const NodeId& aNode)
{
  const std::vector<NodeId> readers = StoreReaders(aMembers);
  return std::find(readers.begin(), readers.end(), aNode) != readers.end();
}

} // namespace heatherfork
