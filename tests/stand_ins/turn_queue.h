#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

/// Mutual exclusion by priority.
namespace heatherfork::stand_in {

/// Admits one call at a time, the highest priority first. Calls of equal
/// priority run in the order of their arrival.
class TurnQueue
{
public:
  /// Blocks until the call is admitted.
  void WaitForTurn(int aPriority);
  /// Admits the next call.
  void EndTurn();
  /// Returns the number of waiting calls.
  int WaitingCount() const;

private:
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::set<std::pair<int, std::uint64_t>>
    mWaiting; ///< Negated priority and arrival number.
  std::uint64_t mArrivalCount = 0;
  bool mIsBusy = false;
};

} // namespace heatherfork::stand_in
