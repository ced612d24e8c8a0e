#pragma once

#include <cstdint>

#include <absl/status/status.h>

#include "connection.h"
#include "link_context.h"

/// A connection that another node opened to send messages to this node.
namespace heatherfork::detail {

class IncomingLink;

/// Notified when the greeting of an incoming link has been verified.
class GreetingListener
{
public:
  virtual ~GreetingListener() = default;
  virtual void OnGreeting(IncomingLink& aLink) = 0;
};

class IncomingLink : public PollHandler
{
public:
  IncomingLink(LinkContext& aContext,
               GreetingListener& aGreetingListener,
               const Poco::Net::StreamSocket& aSocket);
  IncomingLink(const IncomingLink&) = delete;
  IncomingLink& operator=(const IncomingLink&) = delete;
  ~IncomingLink() override;

  void OnReady(int aMode) override;
  void OnFault(const std::string& aReason) override;
  void OnTimer();

  /// Delivers what has been received, then closes. Called when the peer has
  /// opened a new connection in place of this one.
  void DrainAndClose();

  bool IsGreeted() const { return mIsGreeted; }
  bool IsClosed() const { return mIsClosed; }
  const Greeting& PeerGreeting() const { return mPeerGreeting; }

private:
  absl::Status Receive();
  absl::Status Handle(const SessionFrame& aFrame);
  absl::Status HandleHello(const SessionFrame& aFrame);
  absl::Status HandleMessage(const SessionFrame& aFrame);
  void Write();
  void Fail(const absl::Status& aReason);
  void Close();

  LinkContext& mContext;
  GreetingListener& mGreetingListener;
  Connection mConnection;
  Greeting mPeerGreeting;
  bool mIsGreeted = false;
  bool mHasReceivedGoodbye = false;
  bool mIsClosed = false;
  Instant mLastReceivedAt;
};

} // namespace heatherfork::detail
