#include "heatherfork/detail/requests/orphaned_attempts.h"

#include <algorithm>
#include <limits>

#include "heatherfork/detail/hash.h"

namespace heatherfork::detail {

namespace {

constexpr std::size_t kCancellingNodeCount = 2;
constexpr Duration kGoneNodeRetention = Milliseconds(120000);

std::uint64_t
RendezvousWeight(const NodeId& aAlive, const NodeId& aGone)
{
  const std::uint64_t seed = Hash(aGone.mName.mValue, aGone.mIncarnation);
  return Hash(aAlive.mName.mValue, seed ^ aAlive.mIncarnation);
}

bool
ShouldCancelFor(const Context& aContext, const NodeId& aGone)
{
  const NodeId& self = aContext.mSettings.mSelf;
  const std::uint64_t own = RendezvousWeight(self, aGone);
  const auto higher =
    std::count_if(aContext.mMembers.begin(),
                  aContext.mMembers.end(),
                  [&](const Member& aMember) {
                    return aMember.mNode != self &&
                           aMember.mStatus == MemberStatus::kAlive &&
                           RendezvousWeight(aMember.mNode, aGone) > own;
                  });
  return static_cast<std::size_t>(higher) < kCancellingNodeCount;
}

// A node that was declared dead by mistake learns of it and continues in a
// higher epoch. The range ends before that epoch.
std::uint64_t
LastSequenceToCancel(const Context& aContext, const NodeId& aGone)
{
  const Member* member = FindMember(aContext.mMembers, aGone);
  if (member == nullptr) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  const std::uint64_t nextEpoch = std::uint64_t{ member->mEpoch } + 1;
  return (nextEpoch << kEpochShift) - 1;
}

void
CancelAttemptsOf(Context& aContext,
                 const NodeId& aGone,
                 PendingCancels& aCancels)
{
  const CancelRangeCall range{ aGone.mIncarnation,
                               LastSequenceToCancel(aContext, aGone) };
  for (const Pool& pool : aContext.mConfiguration->mPools) {
    for (const BackendServer& server : pool.mServers) {
      if (server.mRole != Role::kPlain) {
        aCancels.AddRange(aContext, range, server.mName, server.mAddress);
      }
    }
  }
}

} // namespace

void
OrphanedAttempts::OnNodeGone(Context& aContext,
                             const NodeId& aNode,
                             PendingCancels& aCancels)
{
  std::erase_if(mGoneNodes, [&](const auto& aItem) {
    return aItem.second + kGoneNodeRetention < aContext.mNow;
  });
  mGoneNodes[aNode] = aContext.mNow;
  if (aContext.mConfiguration == nullptr) {
    return;
  }
  // The nodes that were selected for an earlier dead node may have died since,
  // so all recently dead nodes are checked again.
  for (const auto& [gone, since] : mGoneNodes) {
    if (ShouldCancelFor(aContext, gone)) {
      CancelAttemptsOf(aContext, gone, aCancels);
    }
  }
}

} // namespace heatherfork::detail
