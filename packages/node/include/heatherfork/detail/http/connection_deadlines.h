#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

#include <Poco/Net/StreamSocket.h>

#include "heatherfork/time.h"

/// Timeouts for receiving a request and sending its answer on a caller's
/// connection.
namespace heatherfork::detail {

/// Shuts down connections whose deadline has passed, even while bytes still
/// arrive or a write waits for its reader.
class ConnectionDeadlines
{
public:
  /// What a watched connection is used for.
  enum class Use : std::uint8_t
  {
    kReading,
    kAnswering, ///< Kept for kLastAnswerTimeout by CloseAll.
  };

  /// Applies a deadline to a connection for the lifetime of this object.
  class Watch
  {
  public:
    Watch(ConnectionDeadlines& aDeadlines,
          const Poco::Net::StreamSocket& aSocket,
          Duration aTimeout,
          Use aUse = Use::kReading);
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;
    ~Watch();

    /// Whether the connection was shut down at its deadline.
    bool HasExpired() const;

  private:
    ConnectionDeadlines& mDeadlines;
    std::uint64_t mId;
  };

  ConnectionDeadlines();
  ConnectionDeadlines(const ConnectionDeadlines&) = delete;
  ConnectionDeadlines& operator=(const ConnectionDeadlines&) = delete;
  ~ConnectionDeadlines();

  /// Shuts down all connections that are watched now, or lets them finish their
  /// answers within kLastAnswerTimeout; later ones are shut down at the next
  /// check.
  void CloseAll();

private:
  struct Watched
  {
    Poco::Net::StreamSocket mSocket;
    Instant mDeadline{};
    Use mUse = Use::kReading;
    bool mHasExpired = false;
  };

  std::uint64_t Add(const Poco::Net::StreamSocket& aSocket,
                    Duration aTimeout,
                    Use aUse);
  bool HasExpired(std::uint64_t aId) const;
  void Remove(std::uint64_t aId);
  void Run();
  void CloseExpired(Instant aNow);

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  std::map<std::uint64_t, Watched> mWatched;
  std::uint64_t mLastId = 0;
  bool mIsClosing = false;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace heatherfork::detail
