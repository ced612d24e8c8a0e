#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "heatherfork/detail/relay/turn_queue.h"
#include "heatherfork/time.h"

/// Single-threaded event loop over file descriptors.
namespace heatherfork::relay {

/// The readiness events to wait for on a descriptor.
struct IoInterest
{
  bool mRead = false;
  bool mWrite = false;
  auto operator<=>(const IoInterest&) const = default;
};

/// Called when a descriptor is ready. aFailed: error or hang-up.
class IoHandler
{
public:
  virtual ~IoHandler() = default;
  virtual void OnIo(bool aReadable, bool aWritable, bool aFailed) = 0;

  /// Called after OnIo has thrown; the descriptor has been removed from the
  /// loop.
  virtual void OnFault() = 0;
};

/// Event loop based on epoll. Only Post is thread-safe.
class IoLoop
{
public:
  IoLoop();
  ~IoLoop();
  IoLoop(const IoLoop&) = delete;
  IoLoop& operator=(const IoLoop&) = delete;

  /// Adds a descriptor or changes its interest and handler.
  void Set(int aDescriptor, IoInterest aInterest, IoHandler& aHandler);

  /// Removes a descriptor. Its handler is not called any more, not even for
  /// events that were already polled.
  void Remove(int aDescriptor);

  /// Waits at most aLimit for events, then calls handlers, for one round of
  /// turns, and posted functions. Descriptors without a turn remain queued.
  void Wait(Duration aLimit);

  /// Sets what is called with the reason when a handler or a posted function
  /// throws. The descriptor of the handler is removed and its OnFault called;
  /// the loop goes on.
  void SetErrorHandler(std::function<void(const std::string&)> aHandler);

  /// Runs a function on the loop's thread. Thread-safe.
  void Post(std::function<void()> aFunction);

private:
  void Poll(Duration aLimit);
  void ServeRound();
  void Serve(TurnQueue::Key aKey);
  void RecordTurn(TurnQueue::Key aKey, Duration aTook);
  void RunPosted();
  template<class Function>
  bool Guard(const Function& aFunction);

  struct Entry
  {
    IoHandler* mHandler = nullptr;
    IoInterest mInterest;
    std::uint32_t mGeneration = 0; ///< Distinguishes uses of one number.
    std::uint32_t mPending = 0;    ///< Polled events; queued if not 0.
    bool mWasLong = false;         ///< Its last turn.
  };

  Entry* Find(TurnQueue::Key aKey);

  int mEpollDescriptor = -1;
  int mWakeDescriptor = -1;
  std::uint32_t mLastGeneration = 0;
  std::unordered_map<int, Entry> mEntries;
  TurnQueue mTurns;
  std::function<void(const std::string&)> mErrorHandler;
  std::mutex mMutex;
  std::vector<std::function<void()>> mPosted;
};

/// Current time of the steady clock.
Instant
SteadyNow();

} // namespace heatherfork::relay
