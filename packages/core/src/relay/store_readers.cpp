#include "heatherfork/store_readers.h"

#include "heatherfork/detail/scheduling/rendezvous.h"

namespace heatherfork {

namespace {

/// The living member of the largest weight among those that aMay allows; null
/// when it allows none.
template<class May>
const Member*
BestOf(const Members& aMembers, const May& aMay)
{
  const Member* best = nullptr;
  std::uint64_t most = 0;
  for (const Member& member : aMembers) {
    if (member.mStatus != MemberStatus::kAlive || !aMay(member)) {
      continue;
    }
    const std::uint64_t weight =
      detail::RendezvousWeight("store", member.mNode.mName.mValue);
    if (best == nullptr || weight > most) {
      best = &member;
      most = weight;
    }
  }
  return best;
}

} // namespace

// With two, the others hear news while one of them is lost; a node that hears
// from neither reads the store itself.
bool
ReadsStore(const Members& aMembers, const NodeId& aNode)
{
  const Member* first = BestOf(aMembers, [](const Member&) { return true; });
  if (first == nullptr) {
    return false;
  }
  const Member* second = BestOf(aMembers, [&](const Member& aMember) {
    return aMember.mZone != first->mZone;
  });
  if (second == nullptr) {
    second = BestOf(aMembers,
                    [&](const Member& aMember) { return &aMember != first; });
  }
  return first->mNode == aNode || (second != nullptr && second->mNode == aNode);
}

} // namespace heatherfork
