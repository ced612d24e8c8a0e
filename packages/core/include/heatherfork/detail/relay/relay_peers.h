#pragma once

#include <vector>

#include "heatherfork/detail/relay/relay_context.h"

/// Messages of the relay to the other nodes.
namespace heatherfork::detail {

/// Sends a message to all other nodes that may be alive.
void
SendToOthers(RelayContext& aContext, const PeerMessage& aMessage);

/// Up to aCount other nodes that are alive.
std::vector<NodeId>
ChooseRandomPeers(RelayContext& aContext, int aCount);

} // namespace heatherfork::detail
