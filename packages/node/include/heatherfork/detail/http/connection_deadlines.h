#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

#include <Poco/Net/StreamSocket.h>

#include "heatherfork/time.h"

/// Timeouts for receiving a request on a caller's connection.
namespace heatherfork::detail {

/// Shuts down connections whose deadline has passed, even while bytes still
/// arrive.
class ConnectionDeadlines
{
public:
  /// Applies a deadline to a connection for the lifetime of this object.
  class Watch
  {
  public:
    Watch(ConnectionDeadlines& aDeadlines,
          const Poco::Net::StreamSocket& aSocket,
          Duration aTimeout);
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;
    ~Watch();

  private:
    ConnectionDeadlines& mDeadlines;
    std::uint64_t mId;
  };

  ConnectionDeadlines();
  ConnectionDeadlines(const ConnectionDeadlines&) = delete;
  ConnectionDeadlines& operator=(const ConnectionDeadlines&) = delete;
  ~ConnectionDeadlines();

  /// Shuts down all connections that are watched now; later ones are shut down
  /// at the next check.
  void CloseAll();

private:
  struct Watched
  {
    Poco::Net::StreamSocket mSocket;
    Instant mDeadline{};
  };

  std::uint64_t Add(const Poco::Net::StreamSocket& aSocket, Duration aTimeout);
  void Remove(std::uint64_t aId);
  void Run();
  void CloseExpired(Instant aNow);

  std::mutex mMutex;
  std::condition_variable mWake;
  std::map<std::uint64_t, Watched> mWatched;
  std::uint64_t mLastId = 0;
  bool mIsClosing = false;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace heatherfork::detail
