#include "heatherfork/detail/context.h"

namespace heatherfork::detail {

void
Context::Send(const NodeId& aPeer, PeerMessage aMessage)
{
  if (aPeer == mSettings.mSelf) {
    mToSelf.push_back(std::move(aMessage));
    return;
  }
  const Member* member = FindMember(mMembers, aPeer);
  const Address address = member ? member->mPeerAddress : Address{};
  Emit(SendToPeer{ aPeer, std::move(aMessage), address });
}

} // namespace heatherfork::detail
