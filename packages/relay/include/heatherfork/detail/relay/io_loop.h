#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "heatherfork/time.h"

/// Waits for many descriptors in one thread.
namespace heatherfork::relay {

/// What is waited for at a descriptor.
struct IoInterest
{
  bool mRead = false;
  bool mWrite = false;
  auto operator<=>(const IoInterest&) const = default;
};

/// Hears of a descriptor's readiness. `aFailed`: an error or a hang-up.
class IoHandler
{
public:
  virtual ~IoHandler() = default;
  virtual void OnIo(bool aReadable, bool aWritable, bool aFailed) = 0;
};

class IoLoop
{
public:
  IoLoop();
  ~IoLoop();
  IoLoop(const IoLoop&) = delete;
  IoLoop& operator=(const IoLoop&) = delete;

  /// Adds a descriptor or changes what is waited for at it.
  void Set(int aDescriptor, IoInterest aInterest, IoHandler& aHandler);

  /// The handler hears nothing more, also not of what has been found already.
  void Remove(int aDescriptor);

  /// Waits for at most aLimit and calls the handlers.
  void Wait(Duration aLimit);

  /// Runs a function on the loop's thread; safe from any thread.
  void Post(std::function<void()> aFunction);

private:
  void RunPosted();

  struct Entry
  {
    IoHandler* mHandler = nullptr;
    IoInterest mInterest;
    std::uint32_t mLife = 0; ///< Tells a descriptor's uses apart.
  };

  int mPoll = -1;
  int mWake = -1;
  std::uint32_t mLives = 0;
  std::unordered_map<int, Entry> mEntries;
  std::mutex mMutex;
  std::vector<std::function<void()>> mPosted;
};

/// The steady clock as events carry it.
Instant
SteadyNow();

} // namespace heatherfork::relay
