#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "heatherfork/time.h"

/// Order in which a loop serves its ready connections.
namespace heatherfork::relay {

/// A turn that took at least this long counts as long.
inline constexpr Duration kLongTurn = Milliseconds(1);

/// Time for the turns of one round. The loop's timer runs between rounds.
inline constexpr Duration kRoundTime = Milliseconds(5);

/// FIFO queues of connections that wait for their turn. Those whose last turn
/// was long go behind the others, but at least one of them is served in each
/// round.
class TurnQueue
{
public:
  using Key = std::uint64_t;

  /// Queues a connection, which must not be queued yet.
  void Add(Key aKey, bool aWasLong);

  void BeginRound() { mHasServedLong = false; }

  /// Removes and returns the next connection, or nothing if the round is over.
  /// aUsed: time since the round's begin.
  std::optional<Key> TakeNext(Duration aUsed);

  bool IsEmpty() const { return mShort.empty() && mLong.empty(); }

private:
  std::deque<Key> mShort;
  std::deque<Key> mLong;
  bool mHasServedLong = false; ///< In this round.
};

} // namespace heatherfork::relay
