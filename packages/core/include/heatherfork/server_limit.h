#pragma once

#include <compare>
#include <cstdint>

#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// Limits on requests that servers set under load.
namespace heatherfork {

/// A rate in requests per 1000 seconds, so that slow rates are exact.
struct RequestRate
{
  std::int64_t mPer1000Seconds = 0;

  double PerSecond() const
  {
    return static_cast<double>(mPer1000Seconds) / 1000;
  }
  auto operator<=>(const RequestRate&) const = default;
};

/// A server's last known limit, as received by a node.
struct ServerLimit
{
  ServerName mServer;
  std::int64_t mStartedAt = 0; ///< `Replica::mStartedAt`: its incarnation.
  bool mIsNamed = false;       ///< False: it names no limit any more.
  RequestRate mRate;
  Duration mAge{}; ///< Since it was heard.
  auto operator<=>(const ServerLimit&) const = default;
};

} // namespace heatherfork
