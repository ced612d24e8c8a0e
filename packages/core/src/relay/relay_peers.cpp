#include "heatherfork/detail/relay/relay_peers.h"

namespace heatherfork::detail {

void
SendToOthers(RelayContext& aContext, const PeerMessage& aMessage)
{
  for (const Member& member : aContext.mShared.mMembers) {
    if (member.mNode != aContext.mShared.mSettings.mSelf &&
        member.mStatus != MemberStatus::kDead) {
      aContext.mShared.Send(member.mNode, aMessage);
    }
  }
}

std::vector<NodeId>
ChooseRandomPeers(RelayContext& aContext, int aCount)
{
  std::vector<NodeId> others;
  for (const Member& member : aContext.mShared.mMembers) {
    if (member.mNode != aContext.mShared.mSettings.mSelf &&
        member.mStatus == MemberStatus::kAlive) {
      others.push_back(member.mNode);
    }
  }
  std::vector<NodeId> chosen;
  for (int n = 0; n < aCount && !others.empty(); ++n) {
    const std::size_t index = aContext.mShared.mRandom() % others.size();
    chosen.push_back(others[index]);
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return chosen;
}

} // namespace heatherfork::detail
