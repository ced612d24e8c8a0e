#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

#include "heatherfork/effect.h"

/// Queues that pass outputs from the event loop to the callers' threads.
namespace heatherfork::detail {

using CallerOutput = std::variant<SendTokens, AnswerCaller>;

/// Bounded FIFO queue of one caller's outputs. Thread-safe.
class CallerMailbox
{
public:
  /// Returns false when the queue is full because the caller reads too slowly;
  /// all later outputs are refused too, so that the stream has no gap.
  bool Push(CallerOutput aOutput);

  /// Whether an output was refused.
  bool IsOverrun() const;

  /// Returns the next output, or nullopt on timeout.
  std::optional<CallerOutput> Pop(Duration aTimeout);

private:
  static constexpr std::size_t kMaxOutputs = 500;

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<CallerOutput> mOutputs;
  bool mIsOverrun = false;
};

/// The callers with an open request at this node. Thread-safe.
class CallerRegistry
{
public:
  /// Registers a new caller and creates its mailbox.
  std::pair<CallerId, std::shared_ptr<CallerMailbox>> Add();

  void Remove(CallerId aCaller);

  /// Queues an output for a caller; drops it when the caller has disconnected.
  /// Returns false when the caller's mailbox is overrun.
  bool Deliver(CallerId aCaller, CallerOutput aOutput);

  std::size_t Size() const;

private:
  mutable std::mutex mMutex;
  CallerId mLastCaller = 0;
  std::map<CallerId, std::shared_ptr<CallerMailbox>> mMailboxes;
};

} // namespace heatherfork::detail
