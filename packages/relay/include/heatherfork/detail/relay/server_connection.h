#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "heatherfork/detail/relay/http_message.h"
#include "heatherfork/detail/relay/io_loop.h"
#include "heatherfork/ids.h"

/// Connections that this node opens, to replicas and to the store.
namespace heatherfork::relay {

/// Hears of one exchange on a connection. A call of OnDone or OnFailed is the
/// last one.
class ExchangeListener
{
public:
  virtual ~ExchangeListener() = default;

  /// The head of a response; false: it answers something else, skip it.
  virtual bool OnHead(const HttpHead& aHead) = 0;
  virtual void OnBody(std::string_view aBytes) = 0;

  /// The response is whole.
  virtual void OnDone() = 0;

  /// aSent: some byte may have reached the other side.
  virtual void OnFailed(const std::string& aReason, bool aSent) = 0;
};

/// One connection; carries one exchange at a time.
class ServerConnection final : public IoHandler
{
public:
  ServerConnection(IoLoop& aLoop, Address aAddress);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Sends a request and reports to the listener, which must outlive the
  /// exchange or Abandon it. aNoBody: a request of HEAD.
  void Begin(std::string aRequest, bool aNoBody, ExchangeListener& aListener);

  /// The listener hears nothing more. The connection is of no more use.
  void Abandon();

  /// Whether another exchange may follow the one that is done.
  bool MayBeReused() const;

  /// How long the other side keeps it open without use.
  Duration IdleLimit() const { return mIdleLimit; }

  const Address& At() const { return mAddress; }
  bool IsEstablished() const { return mIsEstablished; }

  /// Waits for the other side's end while idle.
  void WatchIdle(std::function<void(ServerConnection&)> aOnEnd);

  void OnIo(bool aReadable, bool aWritable, bool aFailed) override;

private:
  void Fail(const std::string& aReason);
  void Write();
  void ReadAll();
  void Advance();
  void TakeHead();
  void UpdateInterest();
  void CloseSocket();

  IoLoop& mLoop;
  Address mAddress;
  int mDescriptor = -1;
  bool mIsEstablished = false;
  bool mIsSound = true;  ///< Nothing unexpected has come on it.
  bool mHasSent = false; ///< A byte of this exchange may have gone out.
  std::string mOut;
  std::size_t mWritten = 0;
  std::string mIn;
  HttpReader mReader;
  bool mHeadTaken = false;
  bool mIsSkipping = false;
  bool mNoBody = false;
  bool mHasEnded = false;
  Duration mIdleLimit;
  ExchangeListener* mListener = nullptr;
  std::function<void(ServerConnection&)> mOnIdleEnd;
  /// False once this object is gone; listeners may destroy it.
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

using ServerConnectionPtr = std::unique_ptr<ServerConnection>;

/// Idle connections, by address.
class ConnectionPool
{
public:
  explicit ConnectionPool(IoLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  /// A kept connection if there is one and aFresh is not set, else a new one.
  ServerConnectionPtr Take(const Address& aAddress, bool aFresh);

  /// Keeps a connection whose exchange is done, or closes it.
  void Give(ServerConnectionPtr aConnection);

  /// Closes those that were idle for too long.
  void Expire(Instant aNow);

private:
  struct Kept
  {
    ServerConnectionPtr mConnection;
    Instant mUntil{};
  };

  IoLoop& mLoop;
  std::deque<Kept> mIdle;
  std::deque<ServerConnectionPtr> mEnded; ///< Not destroyed within their calls.
};

} // namespace heatherfork::relay
