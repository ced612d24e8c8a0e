#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "heatherfork/ids.h"
#include "heatherfork/peer_message.h"
#include "heatherfork/time.h"

/// Connections between nodes (docs/protocols/peer.md).
namespace heatherfork {

/// Identity of this node, and keys, timeouts and limits of its connections.
struct PeerTransportSettings
{
  NodeId mSelf;
  Address mListenAddress;     ///< "0.0.0.0:7000"; port 0 selects a free port.
  Address mAdvertisedAddress; ///< Address for peers; empty: the bound address.
  std::vector<std::string> mKeys; ///< The first key signs; all are accepted.
  Duration mConnectTimeout = Milliseconds(1000); ///< Includes the greeting.
  Duration mPingInterval = Milliseconds(500);    ///< With unconfirmed messages.
  Duration mIdlePingInterval = Milliseconds(5000);
  Duration mPingTimeout = Milliseconds(1500);
  Duration mIdleTimeout = Milliseconds(60000); ///< Since the last message.
  Duration mMinBackoff = Milliseconds(50);
  Duration mMaxBackoff = Milliseconds(1000);
  std::size_t mMaxQueuedBytes = std::size_t{ 64 } << 20; ///< Per peer address.
  std::size_t mMaxIncomingConnections = 2048;
  std::size_t mMaxUnauthenticatedConnections =
    128; ///< Connections before their greeting.

  auto operator<=>(const PeerTransportSettings&) const = default;
};

/// Receives messages and losses. Called on the transport's thread.
class PeerListener
{
public:
  virtual ~PeerListener() = default;

  virtual void OnMessage(const NodeId& aFrom, PeerMessage aMessage) = 0;

  /// Earlier messages to or from aPeer may have been lost. Called once for each
  /// broken connection, failed connection attempt with queued messages, and
  /// message that could not be queued.
  virtual void OnPeerLost(const NodeId& aPeer) = 0;

  /// An exception ended one connection; the others go on. For the log.
  virtual void OnFault(const std::string& /*aReason*/) {}
};

/// Counters since the start of the transport.
struct PeerTransportCounts
{
  std::uint64_t mMessagesSent = 0;
  std::uint64_t mMessagesReceived = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  std::uint64_t mConnectionsLost = 0;
  std::uint64_t mFramesRejected = 0; ///< Invalid tag, length or content.
  std::uint64_t mMessagesDropped = 0;

  auto operator<=>(const PeerTransportCounts&) const = default;
};

/// Delivers messages in order and at most once, over one connection per peer
/// address. Reports when messages may have been lost. One thread serves all
/// connections.
class PeerTransport
{
public:
  /// The listener must outlive the transport.
  PeerTransport(PeerTransportSettings aSettings, PeerListener& aListener);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  /// Listens and starts the thread. Returns InvalidArgument for invalid
  /// settings and Unavailable if the address can't be bound.
  absl::Status Start();

  /// Flushes queued messages for at most mConnectTimeout, then closes. The
  /// listener is not called after Stop returns.
  void Stop();

  /// Queues a message without waiting for the network. With incarnation 0 the
  /// message goes to any node that listens at aAddress. Otherwise it is dropped
  /// and the peer is reported lost if another node or incarnation answers
  /// there. An empty address selects the one from the peer's greeting.
  /// Thread-safe.
  void Send(const NodeId& aPeer,
            const Address& aAddress,
            const PeerMessage& aMessage);

  /// Changes the keys of new connections. Ignores an invalid list of keys.
  void SetKeys(std::vector<std::string> aKeys);

  /// Returns the address given to peers; valid after Start.
  Address ListenAddress() const;

  PeerTransportCounts Counts() const;

private:
  class Loop;
  std::unique_ptr<Loop> mLoop;
};

} // namespace heatherfork
