#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "heatherfork/time.h"

/// Who was told to come back, and when.
namespace heatherfork::detail {

/// Load pattern: a burst above capacity, whose callers each come back once when
/// told. Returns are spread over the places that become free, so that they meet
/// room and not each other.
class ReturnBook
{
public:
  /// The wait that a refused request is told; at most aMost.
  Duration Promise(Instant aNow,
                   std::uint64_t aContent,
                   Duration aReleaseInterval,
                   Duration aMost);

  /// Whether this content was refused and has come back.
  bool IsBack(Instant aNow, std::uint64_t aContent);

private:
  void Forget(Instant aNow);

  Instant mNextReturn{};
  std::map<std::uint64_t, Instant> mPromised; ///< Until when it is known.
  std::deque<std::uint64_t> mOrder;
};

} // namespace heatherfork::detail
