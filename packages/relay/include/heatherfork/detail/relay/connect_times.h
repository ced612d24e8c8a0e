#pragma once

#include <algorithm>

#include "heatherfork/detail/scheduling/duration_estimate.h"

/// Learned times of connecting to replicas.
namespace heatherfork::relay {

/// Tells how long a connect may take before another replica is tried.
class ConnectTimes
{
public:
  void Observe(Duration aElapsed) { mEstimate.Observe(aElapsed); }

  /// Nearly all connects take less. Without samples, the time after which the
  /// kernel repeats a lost packet of a connect.
  Duration Limit() const
  {
    constexpr Duration kInitialRetransmission = Milliseconds(1000);
    return mEstimate.HasSamples() ? std::clamp(mEstimate.Upper(),
                                               detail::kMinRetransmission,
                                               kInitialRetransmission)
                                  : kInitialRetransmission;
  }

private:
  detail::DurationEstimate mEstimate;
};

} // namespace heatherfork::relay
