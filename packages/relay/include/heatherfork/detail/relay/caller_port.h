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

/// Connections that others open to this node.
namespace heatherfork::relay {

class CallerConnection;

/// Takes the requests of a port. An answer may come at once or later.
class RequestListener
{
public:
  virtual ~RequestListener() = default;

  /// A whole request. The connection reads no further one before its answer.
  virtual void OnRequest(CallerConnection& aConnection,
                         const HttpHead& aHead,
                         std::string aBody) = 0;

  /// Bytes that can't be taken as a request; aStatus says why. The listener
  /// answers; the connection ends after it.
  virtual void OnBadRequest(CallerConnection& aConnection, int aStatus) = 0;

  /// The connection ended before its request was answered.
  virtual void OnGone(CallerConnection& aConnection) = 0;
};

/// One connection of a caller.
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

  /// Sends bytes of an answer.
  void Send(std::string_view aBytes);

  /// The answer is whole; the next request may be read, or the connection ends.
  void Finish(bool aKeepOpen);

  /// Ends the connection in the middle of an answer, so that it is seen.
  void Break();

  bool IsClosed() const { return mDescriptor < 0; }
  bool IsIdle() const { return !mIsAnswering && !mReader.HasBegun(); }

  /// Of the request that is being answered.
  bool WantsClose() const { return mWantsClose; }

  /// Looks at the limits of time.
  void OnTime(Instant aNow);

  void OnIo(bool aReadable, bool aWritable, bool aFailed) override;

private:
  void ReadAll();
  void Advance();
  void TakeRequests();
  void Reject(int aStatus);
  void Write();
  void Close();
  void Gone();
  void UpdateInterest();

  IoLoop& mLoop;
  RequestListener& mListener;
  CallerLimits mLimits;
  int mDescriptor;
  HttpReader mReader;
  std::string mIn;
  std::string mBody;
  std::string mOut;
  std::size_t mWritten = 0;
  bool mIsAnswering = false;
  bool mIsAdvancing = false;
  bool mWantsClose = false;
  bool mClosesAfterWrite = false;
  bool mHasContinued = false; ///< Told the caller to send its body.
  Instant mSince{};           ///< Begin of the request, or of being idle.
  Instant mClosingSince{};
};

/// A listening port and its connections.
class CallerPort final : public IoHandler
{
public:
  CallerPort(IoLoop& aLoop, RequestListener& aListener);
  ~CallerPort() override;

  absl::Status Start(const Address& aAddress);

  /// Takes no new connections; those that are open go on.
  void StopListening();

  void SetLimits(const CallerLimits& aLimits) { mLimits = aLimits; }
  void OnTime(Instant aNow);

  /// Ends those that wait for a request.
  void CloseIdle();

  void OnIo(bool aReadable, bool aWritable, bool aFailed) override;

private:
  IoLoop& mLoop;
  RequestListener& mListener;
  CallerLimits mLimits;
  int mDescriptor = -1;
  std::deque<std::unique_ptr<CallerConnection>> mConnections;
};

} // namespace heatherfork::relay
