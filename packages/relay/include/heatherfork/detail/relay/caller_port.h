#pragma once

#include <algorithm>
#include <deque>
#include <limits>
#include <memory>
#include <string>
#include <tuple>
#include <utility>

#include <absl/status/status.h>

#include "heatherfork/detail/relay/body_intake.h"
#include "heatherfork/detail/relay/caller_output.h"
#include "heatherfork/detail/relay/caller_response.h"
#include "heatherfork/detail/relay/delivery_watch.h"
#include "heatherfork/detail/relay/http_message.h"
#include "heatherfork/detail/relay/io_loop.h"
#include "heatherfork/detail/relay/reader_report.h"
#include "heatherfork/ids.h"
#include "heatherfork/routing.h"

/// Incoming HTTP connections.
namespace heatherfork::relay {

/// Handles the requests of a port. It may answer synchronously or later.
class RequestListener
{
public:
  virtual ~RequestListener() = default;

  /// Called with a complete request. The connection parses the next one only
  /// after the end of the response.
  virtual void OnRequest(CallerResponse aResponse,
                         const HttpHead& aHead,
                         std::string aBody) = 0;

  /// Whether the body of a request is needed to answer it. Called with a head
  /// whose body has not arrived.
  virtual bool NeedsBody(const HttpHead& /*aHead*/) { return true; }

  /// Called in place of OnRequest for a request whose body is not needed. The
  /// listener answers, then the connection is closed.
  virtual void OnUnreadRequest(CallerResponse /*aResponse*/,
                               const HttpHead& /*aHead*/)
  {
  }

  /// Called for an invalid request; aStatus is the HTTP status to answer with.
  /// The listener answers, then the connection is closed.
  virtual void OnBadRequest(CallerResponse aResponse, int aStatus) = 0;

  /// Called when the connection ends before its response, whoever closed it,
  /// unless the response was aborted.
  virtual void OnDisconnect(const CallerConnection& aConnection) = 0;

  /// Called when a caller pauses its reading, and before its connection is
  /// closed for that.
  virtual void OnReader(const ReaderReport& /*aReport*/) {}
};

/// One HTTP connection of a caller; answers one request at a time. Its port and
/// the response of its request share it.
class CallerConnection final
  : public IoHandler
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(IoLoop& aLoop,
                   RequestListener& aListener,
                   BodyIntake& aIntake,
                   const CallerLimits& aLimits,
                   int aDescriptor);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Begins to read requests.
  void Open() { UpdateInterest(); }

  bool IsClosed() const { return mDescriptor < 0; }

  /// Whether a request or an answer is on its way.
  bool IsBusy() const;

  /// Closes the connection unless a request has arrived on it.
  void CloseIfIdle();

  /// Whether it may be closed for another one: no request is being answered,
  /// or its caller has paused.
  bool IsReplaceable() const
  {
    return mDescriptor >= 0 && (!mIsAnswering || IsPaused());
  }

  /// Orders replaceable connections: the first is closed first.
  auto ReplacementOrder() const
  {
    return std::tuple(
      mIsAnswering, mReader.HasBegun() || HasUnread(), LastActiveAt());
  }

  /// Whether the caller is there but has stopped reading.
  bool IsPaused() const { return mDescriptor >= 0 && mDelivery.IsPaused(); }

  /// Memory of answers that its caller has not read.
  std::size_t UnreadBytes() const { return mOutput.Size(); }

  /// Time since the caller last read; 0 if it has read all.
  Duration WithoutProgress(Instant aNow) const
  {
    return mDelivery.WithoutProgress(aNow);
  }

  /// Closes the connection at once, for another one.
  void Replace();

  /// Checks the timeouts.
  void OnTimer(Instant aNow);

  void OnIo(bool aReadable, bool aWritable, bool aFailed) override;
  void OnFault() override { End(); }

private:
  friend class CallerResponse;

  void Send(std::string_view aBytes);
  void Send(BudgetedText aBody);
  bool TrySend(std::string_view aBytes, AnswerBudget& aBudget);
  void Finish(bool aKeepOpen);
  void Abort();
  void SetRequest(std::string aId, Duration aTimeLeft);
  bool WantsClose() const { return mWantsClose; }
  /// Whether the next request may be read.
  bool IsReady() const { return !mIsAnswering && mOutput.IsEmpty(); }
  bool IsIdle() const { return !mIsAnswering && !mReader.HasBegun(); }
  bool HasUnread() const
  {
    return !mOutput.IsEmpty() || mDelivery.IsUndelivered();
  }
  Instant LastActiveAt() const
  {
    return std::max({ mPeriodStart, mWrittenAt, mReadAt });
  }

  void ReadAll();
  void ProcessInput();
  void ProcessRequests();
  bool AdmitBody();
  bool AskForRoom(std::size_t aBytes);
  void CheckRoom();
  void EndBody();
  void DiscardInput();
  void Reject(int aStatus);
  void Write();
  void Cut();
  void End();
  void BeginAnswer();
  void CheckDelivery(Instant aNow);
  void Report(ReaderEvent aEvent, Instant aNow);
  void UpdateInterest();

  IoLoop& mLoop;
  RequestListener& mListener;
  BodyIntake& mIntake;
  CallerLimits mLimits;
  int mDescriptor;
  HttpReader mReader;
  std::string mInput;
  std::string mBody;
  BodyId mBodyId = 0;              ///< 0: the request has no body, or no head.
  std::size_t mRoomBytes = 0;      ///< Asked for the body.
  bool mIsWaitingForRoom = false;  ///< Nothing is read meanwhile.
  std::size_t mDiscardedBytes = 0; ///< Input that arrived for nobody.
  CallerOutput mOutput;
  bool mIsAnswering = false;
  bool mIsProcessingInput = false;
  bool mWantsClose = false;
  bool mClosesAfterWrite = false;
  bool mIsUnread = false; ///< Answered before its body has arrived.
  bool mIsCut = false;    ///< Nothing more can be sent; End follows.
  bool mHasSentContinue = false;
  Instant mPeriodStart{}; ///< Start of the request or idle period.
  Instant mWrittenAt{};   ///< When the socket last accepted bytes.
  Instant mReadAt{};      ///< When the caller read on after a pause.
  DeliveryWatch mDelivery;
  std::string mRequestId;      ///< Of the request last answered.
  Instant mReadUntil{};        ///< The caller may pause until then.
  Instant mEarlierReadUntil{}; ///< For earlier answers that are unread.
};

/// A listening port and its connections.
class CallerPort final : public IoHandler
{
public:
  /// aIntake must outlive the port and may belong to several ports.
  CallerPort(IoLoop& aLoop, RequestListener& aListener, BodyIntake& aIntake);
  ~CallerPort() override;

  absl::Status Start(const Address& aAddress);

  /// Accepts no new connections. Open ones stay.
  void StopListening();

  void SetLimits(const CallerLimits& aLimits) { mLimits = aLimits; }
  void OnTimer(Instant aNow);

  /// While the loop has as many descriptors as this, a new connection takes the
  /// place of the one that has been without a request for the longest.
  void SetMaxDescriptors(std::size_t aCount) { mMaxDescriptors = aCount; }

  /// Closes connections that have no request in progress.
  void CloseIdle();

  /// Closes the connection of the caller that has paused for the longest, of
  /// those with unread answers. Returns false if there is none.
  bool CloseLongestPaused();

  /// Callers that have stopped reading.
  std::size_t PausedReaders() const;

  /// Whether a request or an answer is on its way at any connection.
  bool IsBusy() const;

  void OnIo(bool aReadable, bool aWritable, bool aFailed) override;
  void OnFault() override;

private:
  void AcceptWaiting(int aLimit);
  bool MakeRoom();

  IoLoop& mLoop;
  RequestListener& mListener;
  BodyIntake& mIntake;
  CallerLimits mLimits;
  int mDescriptor = -1;
  std::size_t mMaxDescriptors = std::numeric_limits<std::size_t>::max();
  bool mIsPaused = false; ///< No descriptor was left; until the next timer.
  std::deque<std::shared_ptr<CallerConnection>> mConnections;
};

} // namespace heatherfork::relay
