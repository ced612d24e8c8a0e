#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "heatherfork/detail/relay/http_message.h"
#include "heatherfork/detail/relay/io_loop.h"
#include "heatherfork/ids.h"

/// Outgoing HTTP connections, to replicas and the store.
namespace heatherfork::relay {

/// How an exchange failed.
struct CallFailure
{
  std::string mReason;
  bool mMayHaveSent = false;      ///< Some bytes of the request were received.
  bool mIsConnectionLost = false; ///< Closed or reset by the other side.
};

/// Receives the response of one exchange. OnDone or OnFailed is the last call.
class ExchangeListener
{
public:
  virtual ~ExchangeListener() = default;

  /// Called when a new connection is established for the exchange.
  virtual void OnConnected() {}

  /// Called with a response head. Returns false if the response belongs to
  /// another request and must be skipped.
  virtual bool OnHead(const HttpHead& aHead) = 0;
  virtual void OnBody(std::string_view aBytes) = 0;

  /// Called when the response is complete.
  virtual void OnDone() = 0;

  virtual void OnFailed(const CallFailure& aFailure) = 0;
};

/// One HTTP connection; runs one exchange at a time.
class ServerConnection final : public IoHandler
{
public:
  ServerConnection(IoLoop& aLoop, Address aAddress);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Sends a request. The listener must outlive the exchange or call Abandon.
  /// aIsHeadRequest: the response has no body.
  void Begin(std::string aRequest,
             bool aIsHeadRequest,
             ExchangeListener& aListener);

  /// Cancels the exchange and closes the connection. The listener is not called
  /// any more.
  void Abandon();

  /// Reads no more of the response until ResumeReading. A reset or a close by
  /// both sides resumes it too.
  void PauseReading();
  void ResumeReading();
  bool IsReadingPaused() const { return mIsReadingPaused; }

  /// Whether the connection can run another exchange.
  bool CanBeReused() const;

  /// Whether a request with this id was sent here. A late copy of its response
  /// would pass for the response to another one with the same id.
  bool HasSent(const std::string& aRequestId) const;
  void RecordSent(const std::string& aRequestId);

  /// How long the connection may stay idle before the other side closes it.
  Duration IdleTimeout() const { return mIdleTimeout; }

  const Address& RemoteAddress() const { return mAddress; }
  bool IsEstablished() const { return mIsEstablished; }

  /// Calls aOnEnd when the other side closes the idle connection.
  void WatchIdle(std::function<void(ServerConnection&)> aOnEnd);

  void OnIo(bool aReadable, bool aWritable, bool aFailed) override;
  void OnFault() override { Fail("internal error while reading the response"); }

private:
  void Fail(const std::string& aReason);
  void Write();
  void ReadAll();
  void ProcessInput();
  void HandleHead();
  bool CanSkipMore(std::size_t aBodyBytes);
  void UpdateInterest();
  void CloseSocket();

  IoLoop& mLoop;
  Address mAddress;
  int mDescriptor = -1;
  bool mIsEstablished = false;
  bool mIsReusable = true;   ///< No unexpected data, no announced close.
  bool mMayHaveSent = false; ///< Some bytes of the request may have been sent.
  std::string mOutput;
  std::size_t mWrittenBytes = 0;
  std::string mInput;
  HttpReader mReader;
  bool mHasHandledHead = false;
  bool mIsSkippingResponse = false;
  int mSkippedResponses = 0; ///< In this exchange.
  std::size_t mSkippedBytes = 0;
  std::vector<std::size_t> mSentIds; ///< Hashes of the requests' ids.
  bool mIsHeadRequest = false;
  bool mHasPeerClosed = false;
  bool mIsReadingPaused = false;
  bool mIsReset = false; ///< Found by a write; a read finds only an end.
  Duration mIdleTimeout;
  ExchangeListener* mListener = nullptr;
  std::function<void(ServerConnection&)> mOnIdleEnd;
  /// False after destruction: listeners may destroy the connection.
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

using ServerConnectionPtr = std::unique_ptr<ServerConnection>;

/// Pool of idle connections.
class ConnectionPool
{
public:
  explicit ConnectionPool(IoLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  /// Returns an idle connection to aAddress that has sent no request with this
  /// id, or a new one if there is none or aForceNew is set.
  ServerConnectionPtr Acquire(const Address& aAddress,
                              bool aForceNew,
                              const std::string& aRequestId);

  /// Puts a connection back after its exchange. Closes it if it can't be
  /// reused.
  void Release(ServerConnectionPtr aConnection);

  /// Closes connections that reached their idle timeout.
  void Expire(Instant aNow);

private:
  struct IdleConnection
  {
    ServerConnectionPtr mConnection;
    Instant mExpiresAt{};
  };

  IoLoop& mLoop;
  std::deque<IdleConnection> mIdle;
  std::deque<ServerConnectionPtr> mClosed; ///< Destroyed after their callbacks.
};

} // namespace heatherfork::relay
