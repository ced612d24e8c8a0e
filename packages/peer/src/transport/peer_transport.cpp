#include "heatherfork/peer_transport.h"

#include <utility>

#include "loop.h"

namespace heatherfork {

PeerTransport::PeerTransport(PeerTransportSettings aSettings,
                             PeerListener& aListener)
  : mLoop(std::make_unique<Loop>(std::move(aSettings), aListener))
{
}

PeerTransport::~PeerTransport() = default;

absl::Status
PeerTransport::Start()
{
  return mLoop->Start();
}

void
PeerTransport::Stop()
{
  mLoop->Stop();
}

void
PeerTransport::Send(const NodeId& aPeer,
                    const Address& aAddress,
                    const PeerMessage& aMessage)
{
  mLoop->Send(aPeer, aAddress, aMessage);
}

void
PeerTransport::SetKeys(std::vector<std::string> aKeys)
{
  mLoop->SetKeys(std::move(aKeys));
}

Address
PeerTransport::ListenAddress() const
{
  return mLoop->ListenAddress();
}

PeerTransportCounts
PeerTransport::Counts() const
{
  return mLoop->Counts();
}

} // namespace heatherfork
