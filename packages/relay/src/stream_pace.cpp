#include "heatherfork/detail/relay/stream_pace.h"

#include <algorithm>

namespace heatherfork::relay {

namespace {

constexpr Duration kSecond = Milliseconds(1000);

} // namespace

// After an hour any level is empty; the bound keeps the product in range.
std::int64_t
StreamPace::LevelAt(Instant aNow) const
{
  const Duration elapsed =
    std::clamp(aNow - mUpdatedAt, Duration{}, 3600 * kSecond);
  const std::int64_t drained = mRate * elapsed.count() / kSecond.count();
  return std::max(mLevel - drained, std::int64_t{ 0 });
}

void
StreamPace::Spend(std::size_t aBytes, int aEvents, Instant aNow)
{
  mLevel =
    LevelAt(aNow) + static_cast<std::int64_t>(aBytes) + kEventCost * aEvents;
  mUpdatedAt = aNow;
}

} // namespace heatherfork::relay
