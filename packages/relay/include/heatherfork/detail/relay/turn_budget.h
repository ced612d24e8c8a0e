#pragma once

#include <cstddef>

#include "heatherfork/detail/relay/turn_queue.h"

/// Limit of the work of one turn of the loop.
namespace heatherfork::relay {

/// What a connection may still read in its turn.
class TurnBudget
{
public:
  static constexpr std::size_t kMaxBytes = std::size_t{ 64 } << 10;

  explicit TurnBudget(Instant aNow)
    : mBegin(aNow)
  {
  }

  void Spend(std::size_t aBytes) { mBytes += aBytes; }

  bool IsSpent(Instant aNow) const
  {
    return mBytes >= kMaxBytes || aNow - mBegin >= kLongTurn;
  }

private:
  Instant mBegin;
  std::size_t mBytes = 0;
};

} // namespace heatherfork::relay
