#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "heatherfork/detail/relay/caller_port.h"
#include "heatherfork/detail/relay/event_stream.h"
#include "heatherfork/detail/relay/server_connection.h"
#include "heatherfork/relay_effect.h"
#include "heatherfork/relay_wire.h"

/// One caller's request and its calls to replicas, as I/O.
namespace heatherfork::relay {

/// What an exchange needs of the node.
struct ExchangeContext
{
  const RelayWire& mWire;
  ConnectionPool& mPool;
  std::function<void(RelayEventBody)> mPost; ///< To the reducer, not at once.
  bool mIsLeaving = false;                   ///< Connections are closed.
};

class Exchange final : private ExchangeListener
{
public:
  Exchange(ExchangeContext& aContext,
           CallerConnection& aConnection,
           HttpHead aHead,
           std::string aBody,
           std::string aRequestId);
  ~Exchange() override;

  void Start(const StartCall& aCall, Instant aNow);
  void Stop();
  void Pass();
  void Refuse(const Error& aError, int aStatus, Duration aRetryAfter);
  void Break();

  /// Looks at the limits of time of the call that is open.
  void OnTime(Instant aNow);

  bool IsOf(const CallerConnection& aConnection) const
  {
    return &mConnection == &aConnection;
  }

private:
  bool OnHead(const HttpHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  void OnDone() override;
  void OnFailed(const std::string& aReason, bool aSent) override;

  void End(RelayResult aResult);
  RelayResult ResultOf() const;
  bool IsPassing() const;
  void PassEvents();
  void SendHead(std::optional<std::size_t> aLength);
  bool KeepsOpen() const;

  ExchangeContext& mContext;
  CallerConnection& mConnection;
  HttpHead mHead;
  std::string mRequestBody;
  std::string mRequestId;

  // The call.
  std::optional<StartCall> mCall;
  ServerConnectionPtr mServer;
  HttpHead mReply;
  ReplyFacts mFacts;
  bool mHasReply = false;
  std::string mReplyBody;
  EventStream mEvents;
  int mEventsInCall = 0;
  Instant mStartedAt{};
  Instant mHeardAt{};

  // The answer.
  bool mHeadSent = false;
  std::string mLastEvent;
};

} // namespace heatherfork::relay
