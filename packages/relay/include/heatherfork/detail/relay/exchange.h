#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "heatherfork/detail/relay/answer_limits.h"
#include "heatherfork/detail/relay/caller_port.h"
#include "heatherfork/detail/relay/connect_times.h"
#include "heatherfork/detail/relay/event_stream.h"
#include "heatherfork/detail/relay/server_connection.h"
#include "heatherfork/detail/relay/stream_pace.h"
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
  std::size_t mMaxAnswerBytes = 0; ///< Buffered for one answer to a caller.
  AnswerBudget mAnswerBudget{ 0 };
  bool mIsLeaving = false; ///< Close after the answer.
  ConnectTimes mConnectTimes;
  std::size_t mStreamBytesPerSecond = 0; ///< Read of one stream.
  std::function<void(const RelayLogEntry&)> mLog;

  /// Frees memory of answers that their callers have stopped reading. Returns
  /// false if there are none.
  std::function<bool()> mFreeAnswerRoom;
};

/// Runs the calls that the reducer orders for one request and sends the
/// response to the caller.
class Exchange final : private ExchangeListener
{
public:
  Exchange(ExchangeContext& aContext,
           CallerResponse aResponse,
           HttpHead aHead,
           std::string aBody,
           std::string aRequestId);
  ~Exchange() override;

  void Start(const StartCall& aCall, Instant aNow);
  void Stop();

  /// Ends the call as broken if it is still silent.
  void EndIfSilent(const RelayCallId& aCall);
  void ForwardResponse();
  void Refuse(const Error& aError, int aStatus, Duration aRetryAfter);
  void Abort();

  /// Ends the call, as the caller has left. Frees the request's body.
  void Drop();

  /// Checks the timeouts of the current call.
  void OnTimer(Instant aNow);

  bool BelongsTo(const CallerConnection& aConnection) const
  {
    return mResponse.BelongsTo(aConnection);
  }

private:
  bool OnHead(const HttpHead& aHead) override;
  void OnConnected() override;
  bool MaySend() override;
  void OnBody(std::string_view aBytes) override;
  void OnDone() override;
  void OnFailed(const CallFailure& aFailure) override;

  /// Buffers bytes of a response that is not forwarded as it arrives. Returns
  /// false if it exceeds its limit.
  bool BufferReply(std::string_view aBytes);
  bool IsDeliverable() const;
  void RecordProgress();
  void ReportSilence(Instant aNow);
  void EndCall(RelayResult aResult, std::string aReason);
  void ReportEnd(RelayResult aResult,
                 std::string aReason = "",
                 bool aIsConnectionLost = false);
  RelayResult ClassifyResult() const;
  bool IsForwardingEvents() const;
  bool IsStreamCut() const;
  /// Returns false if the replica sends no events but other bytes.
  bool ForwardEvents();
  void SendEvents(const std::string& aBytes);
  void CheckServerConnection(Instant aNow);
  void PauseIfTooFast(std::size_t aBytes, int aEvents);
  void SendHead(std::optional<std::size_t> aLength);
  bool ShouldKeepOpen() const;

  ExchangeContext& mContext;
  CallerResponse mResponse;
  HttpHead mHead;
  SharedBody mRequestBody;
  std::string mRequestId;

  // State of the current call.
  std::optional<StartCall> mCall;
  ServerConnectionPtr mServerConnection;
  HttpHead mReply;
  ResponseFlags mFlags;
  bool mHasReply = false;
  BudgetedText mReplyBody;
  std::size_t mReceivedBytes = 0; ///< Of the body.
  std::string mComments;          ///< Of a stream, since its last event.
  EventStream mEvents;
  int mEventsInCall = 0;
  StreamPace mPace;
  bool mHasLoggedPause = false;
  bool mIsReaderBehind = false; ///< The replica waits for the caller.
  Instant mStartedAt{};
  Instant mLastReceivedAt{}; ///< Of body bytes, or of an event of a stream.
  Instant mSilenceReportedAt{};
  bool mIsSilent = false; ///< As reported last.

  // State of the response to the caller.
  bool mHasSentHead = false;
  std::string mLastEvent;
};

} // namespace heatherfork::relay
