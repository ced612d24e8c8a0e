#include "heatherfork/detail/http/strict_session.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include "heatherfork/detail/http/strict_stream.h"

namespace heatherfork::detail {

using Poco::Net::HTTPClientSession;
using Poco::Net::StreamSocket;

StreamSocket
ConnectTo(const Address& aAddress, Duration aTimeout)
{
  StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(aAddress.mValue),
                 Poco::Timespan(aTimeout.count()));
  socket.setNoDelay(true);
  return socket;
}

// A session over a connected socket has no host to reconnect to, and without
// keep-alive the library never sends a request twice.
std::unique_ptr<HTTPClientSession>
MakeStrictSession(const StreamSocket& aSocket, Duration aTimeout)
{
  StreamSocket strict(new StrictStream(aSocket, StrictStream::Kind::kResponse));
  // A session applies its own timeout only to sockets that it connects.
  strict.setSendTimeout(Poco::Timespan(aTimeout.count()));
  strict.setReceiveTimeout(Poco::Timespan(aTimeout.count()));
  auto session = std::make_unique<HTTPClientSession>(strict);
  session->setKeepAlive(false);
  return session;
}

bool
HasWholeResponse(HTTPClientSession& aSession)
{
  return static_cast<const StrictStream*>(aSession.socket().impl())->IsDone();
}

} // namespace heatherfork::detail
