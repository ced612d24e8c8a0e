#pragma once

#include <cstddef>
#include <cstdint>

#include "heatherfork/time.h"

/// Limit of the rate at which a stream is read.
namespace heatherfork::relay {

/// Leaky bucket for one stream: what one second allows may come at once.
class StreamPace
{
public:
  /// Bytes that an event counts for in addition to its own.
  static constexpr std::int64_t kEventCost = 32;

  explicit StreamPace(std::size_t aBytesPerSecond)
    : mRate(static_cast<std::int64_t>(aBytesPerSecond))
  {
  }

  /// Records what was read.
  void Spend(std::size_t aBytes, int aEvents, Instant aNow);

  /// Whether the stream may be read now.
  bool MayRead(Instant aNow) const { return LevelAt(aNow) <= mRate; }

private:
  std::int64_t LevelAt(Instant aNow) const;

  std::int64_t mRate;
  std::int64_t mLevel = 0; ///< Read in excess of the rate, at mUpdatedAt.
  Instant mUpdatedAt{};
};

} // namespace heatherfork::relay
