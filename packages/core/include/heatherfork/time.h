#pragma once

#include <chrono>

/// Time types. The reducer takes the time from events, never from a clock.
namespace heatherfork {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// Microseconds since an epoch that is the same for all events of a node.
using Instant = std::chrono::sys_time<Duration>;

/// Converts milliseconds, the unit of settings and protocols.
constexpr Duration
Milliseconds(std::int64_t aCount)
{
  return Duration(aCount * 1000);
}

/// Converts a duration to milliseconds, truncated toward zero.
constexpr std::int64_t
ToMilliseconds(Duration aDuration)
{
  return aDuration.count() / 1000;
}

} // namespace heatherfork
