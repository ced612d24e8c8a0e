#pragma once

#include "heatherfork/scheduling_settings.h"

/// Estimates how much slower a server is than its peers.
namespace heatherfork::detail {

/// Ratio of observed to expected durations. The last value is remembered until
/// a new observation; its decayed value tends towards 1.
class Slowness
{
public:
  void Observe(Instant aNow, double aRatio);

  /// Last value without decay; 1 without observations.
  double Remembered() const { return mRatio; }

  /// Value after decay towards 1.
  double Decayed(Instant aNow, const SchedulingSettings& aSettings) const;

  Instant ObservedAt() const { return mObservedAt; }

private:
  double mRatio = 1;
  Instant mObservedAt{};
};

} // namespace heatherfork::detail
