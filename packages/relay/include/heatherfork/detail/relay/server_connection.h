#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "heatherfork/detail/relay/delivery_watch.h"
#include "heatherfork/detail/relay/http_message.h"
#include "heatherfork/detail/relay/io_loop.h"
#include "heatherfork/detail/relay/sockets.h"
#include "heatherfork/ids.h"

/// Outgoing HTTP connections, to replicas and the store.
namespace heatherfork::relay {

/// How an exchange failed.
struct CallFailure
{
  std::string mReason;
  bool mMayHaveSent = false;      ///< Some bytes of the request were received.
  bool mIsConnectionLost = false; ///< Closed or reset by the other side.
  bool mIsSilent = false; ///< The other machine does not answer any more.
};

/// Body of a request, shared by the calls that it is sent with; may be null.
using SharedBody = std::shared_ptr<const std::string>;

/// Receives the response of one exchange. OnDone or OnFailed is the last call.
class ExchangeListener
{
public:
  virtual ~ExchangeListener() = default;

  /// Called when a new connection is established for the exchange.
  virtual void OnConnected() {}

  /// Called before the first byte of the request is written. Returns false if
  /// the request must not be sent any more; the exchange fails then.
  virtual bool MaySend() { return true; }

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
  /// aIsHeadRequest: the response has no body. aBody is sent after aRequest.
  void Begin(std::string aRequest,
             bool aIsHeadRequest,
             ExchangeListener& aListener,
             SharedBody aBody = nullptr);

  /// Cancels the exchange and closes the connection. The listener is not called
  /// any more.
  void Abandon();

  /// Reads no more of the response until ResumeReading. A reset or a close by
  /// both sides resumes it too.
  void PauseReading();
  void ResumeReading();
  bool IsReadingPaused() const { return mIsReadingPaused; }

  /// Fails the exchange if the other machine does not answer any more. Called
  /// several times a second during an exchange, as otherwise a pause of the
  /// other side's reading ends the connection.
  void OnTimer(Instant aNow);

  /// Whether the other side answers but has stopped reading.
  bool IsPeerPaused() const { return mDescriptor >= 0 && mDelivery.IsPaused(); }

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
  void FailSilent();
  void FailLater(const std::string& aReason);
  bool HasUnwritten() const;
  IoResult WriteParts();
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
  SharedBody mBody; ///< Follows mOutput; null when it is written.
  std::size_t mWrittenBodyBytes = 0;
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
  DeliveryWatch mDelivery;
  bool mIsSilent = false;
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

  /// Keeps no connection while the loop has more descriptors than this.
  void SetMaxDescriptors(std::size_t aCount) { mMaxDescriptors = aCount; }

  /// Closes connections that reached their idle timeout.
  void Expire(Instant aNow);

private:
  struct IdleConnection
  {
    ServerConnectionPtr mConnection;
    Instant mExpiresAt{};
  };

  IoLoop& mLoop;
  std::size_t mMaxDescriptors = std::numeric_limits<std::size_t>::max();
  std::deque<IdleConnection> mIdle;
  std::deque<ServerConnectionPtr> mClosed; ///< Destroyed after their callbacks.
};

} // namespace heatherfork::relay
