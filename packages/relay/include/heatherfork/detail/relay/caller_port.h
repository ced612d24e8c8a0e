#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "heatherfork/detail/relay/http_message.h"
#include "heatherfork/detail/relay/io_loop.h"
#include "heatherfork/ids.h"
#include "heatherfork/routing.h"

/// Incoming HTTP connections.
namespace heatherfork::relay {

class CallerConnection;

/// Handles the requests of a port. It may answer synchronously or later.
class RequestListener
{
public:
  virtual ~RequestListener() = default;

  /// Called with a complete request. The connection parses the next one only
  /// after Finish.
  virtual void OnRequest(CallerConnection& aConnection,
                         const HttpHead& aHead,
                         std::string aBody) = 0;

  /// Called for an invalid request; aStatus is the HTTP status to answer with.
  /// The listener answers, then the connection is closed.
  virtual void OnBadRequest(CallerConnection& aConnection, int aStatus) = 0;

  /// Called when the connection ends before its request is answered.
  virtual void OnDisconnect(CallerConnection& aConnection) = 0;
};

/// One HTTP connection of a caller; answers one request at a time.
class CallerConnection final : public IoHandler
{
public:
  CallerConnection(IoLoop& aLoop,
                   RequestListener& aListener,
                   const CallerLimits& aLimits,
                   int aDescriptor);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Sends a part of the response. Disconnects a caller that leaves too much
  /// unread.
  void Send(std::string_view aBytes);

  /// Ends the response. Then reads the next request, or closes the connection
  /// if aKeepOpen is not set.
  void Finish(bool aKeepOpen);

  /// Closes the connection before the response is complete, so that the caller
  /// notices the truncation.
  void Abort();

  bool IsClosed() const { return mDescriptor < 0; }
  bool IsIdle() const { return !mIsAnswering && !mReader.HasBegun(); }

  /// Whether a request or an answer is on its way.
  bool IsBusy() const
  {
    return mDescriptor >= 0 &&
           (mIsAnswering || mWrittenBytes < mOutput.size() ||
            (mReader.HasBegun() && !mClosesAfterWrite));
  }

  /// Whether the current request asks to close the connection.
  bool WantsClose() const { return mWantsClose; }

  /// Closes the connection unless a request has arrived on it.
  void CloseIfIdle();

  /// Checks the timeouts.
  void OnTimer(Instant aNow);

  void OnIo(bool aReadable, bool aWritable, bool aFailed) override;

private:
  void ReadAll();
  void ProcessInput();
  void ProcessRequests();
  void Reject(int aStatus);
  void Write();
  void Close();
  void HandleDisconnect();
  void UpdateInterest();

  IoLoop& mLoop;
  RequestListener& mListener;
  CallerLimits mLimits;
  int mDescriptor;
  HttpReader mReader;
  std::string mInput;
  std::string mBody;
  std::string mOutput;
  std::size_t mWrittenBytes = 0;
  bool mIsAnswering = false;
  bool mIsProcessingInput = false;
  bool mWantsClose = false;
  bool mClosesAfterWrite = false;
  bool mHasSentContinue = false;
  Instant mPeriodStart{}; ///< Start of the request or idle period.
  Instant mClosingSince{};
};

/// A listening port and its connections.
class CallerPort final : public IoHandler
{
public:
  CallerPort(IoLoop& aLoop, RequestListener& aListener);
  ~CallerPort() override;

  absl::Status Start(const Address& aAddress);

  /// Accepts no new connections. Open ones stay.
  void StopListening();

  void SetLimits(const CallerLimits& aLimits) { mLimits = aLimits; }
  void OnTimer(Instant aNow);

  /// Closes connections that have no request in progress.
  void CloseIdle();

  /// Whether a request or an answer is on its way at any connection.
  bool IsBusy() const;

  void OnIo(bool aReadable, bool aWritable, bool aFailed) override;

private:
  void AcceptWaiting(int aLimit);

  IoLoop& mLoop;
  RequestListener& mListener;
  CallerLimits mLimits;
  int mDescriptor = -1;
  std::deque<std::unique_ptr<CallerConnection>> mConnections;
};

} // namespace heatherfork::relay
