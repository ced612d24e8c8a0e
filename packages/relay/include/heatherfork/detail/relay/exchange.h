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

/// I/O of one caller's request and of its calls to replicas.
namespace heatherfork::relay {

/// Dependencies of an exchange, provided by the node.
struct ExchangeContext
{
  const RelayWire& mWire;
  ConnectionPool& mPool;
  std::function<void(RelayEventBody)> mPost; ///< Queues an event.
  bool mIsLeaving = false;                   ///< Close after the answer.
};

/// Runs the calls that the reducer orders for one request and sends the
/// response to the caller.
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
  void ForwardResponse();
  void Refuse(const Error& aError, int aStatus, Duration aRetryAfter);
  void Abort();

  /// Checks the timeouts of the current call.
  void OnTimer(Instant aNow);

  bool BelongsTo(const CallerConnection& aConnection) const
  {
    return &mConnection == &aConnection;
  }

private:
  bool OnHead(const HttpHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  void OnDone() override;
  void OnFailed(const std::string& aReason, bool aMayHaveSent) override;

  void ReportEnd(RelayResult aResult);
  RelayResult ClassifyResult() const;
  bool IsForwardingEvents() const;
  void ForwardEvents();
  void SendHead(std::optional<std::size_t> aLength);
  bool ShouldKeepOpen() const;

  ExchangeContext& mContext;
  CallerConnection& mConnection;
  HttpHead mHead;
  std::string mRequestBody;
  std::string mRequestId;

  // State of the current call.
  std::optional<StartCall> mCall;
  ServerConnectionPtr mServerConnection;
  HttpHead mReply;
  ResponseFlags mFlags;
  bool mHasReply = false;
  std::string mReplyBody;
  EventStream mEvents;
  int mEventsInCall = 0;
  Instant mStartedAt{};
  Instant mLastReceivedAt{};

  // State of the response to the caller.
  bool mHasSentHead = false;
  std::string mLastEvent;
};

} // namespace heatherfork::relay
