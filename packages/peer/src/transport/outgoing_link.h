#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "connection.h"
#include "link_context.h"

/// The connection over which this node sends messages to one address.
namespace heatherfork::detail {

/// A message waiting to be written to its connection.
struct QueuedMessage
{
  NodeId mPeer; ///< Incarnation 0 accepts any node at the address.
  std::string mFrame;
};

class OutgoingLink : public PollHandler
{
public:
  OutgoingLink(LinkContext& aContext,
               Address aAddress,
               std::uint64_t aLinkNumber);
  OutgoingLink(const OutgoingLink&) = delete;
  OutgoingLink& operator=(const OutgoingLink&) = delete;
  ~OutgoingLink() override;

  void Enqueue(QueuedMessage aMessage);
  void OnReady(int aMode) override;
  void OnFault(const std::string& aReason) override;
  void OnTimer();

  /// Sends a goodbye and closes if everything is written and no ping is
  /// outstanding.
  void CloseIfWritten();

  /// Returns true if no message is queued or unwritten.
  bool IsWritten() const;

  /// Returns true if the link is disconnected, has no messages, and its backoff
  /// ended more than mMaxBackoff ago.
  bool IsRemovable() const;

private:
  enum class State : std::uint8_t
  {
    kDisconnected,
    kGreeting, ///< Connecting, or waiting for the peer's greeting.
    kOpen,
  };

  void Connect();
  absl::Status Receive();
  absl::Status Handle(const SessionFrame& aFrame);
  absl::Status HandleWelcome(const SessionFrame& aFrame);
  absl::Status SendHello();
  void SendQueued();
  void SendMessage(const QueuedMessage& aMessage);
  void Write();
  void Ping();
  void Drop(const NodeId& aPeer);
  void Fail(const absl::Status& aReason);
  void Disconnect();
  void BackOff();

  LinkContext& mContext;
  Address mAddress;
  std::uint64_t mLinkNumber;
  State mState = State::kDisconnected;
  std::unique_ptr<Connection> mConnection;
  std::shared_ptr<const KeyRing> mKeys; ///< Keys of the current connection.
  bool mIsHelloSent = false;
  NodeId mPeerNode; ///< Set in state kOpen.
  std::deque<QueuedMessage> mQueue;
  std::size_t mQueuedBytes = 0;
  Instant mConnectStartedAt{};
  Instant mLastMessageAt{};
  Instant mLastPingAt{};
  bool mIsPingOutstanding = false;
  bool mHasUnconfirmedMessages =
    false; ///< Messages were sent since the last ping.
  Duration mBackoff{};
  Instant mNextConnectAt{};
};

} // namespace heatherfork::detail
