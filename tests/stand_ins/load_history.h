#pragma once

#include <deque>

#include "attempt_table.h"

/// Delayed load reports.
namespace heatherfork::stand_in {

/// The load of one engine at one point in time.
struct Load
{
  int mRunning = 0;
  int mQueued = 0;
  int mFreePieces = 0;

  auto operator<=>(const Load&) const = default;
};

/// Recent load values, reported with a fixed lag.
class LoadHistory
{
public:
  explicit LoadHistory(milliseconds aLag);

  void Record(Instant aNow, const Load& aLoad);

  /// Returns the load one lag ago, or the oldest known load if the history is
  /// shorter than that.
  Load Report(Instant aNow);

  milliseconds Lag() const { return mLag; }

private:
  struct Entry
  {
    Instant mAt;
    Load mLoad;
  };

  milliseconds mLag;
  std::deque<Entry> mEntries;
};

} // namespace heatherfork::stand_in
