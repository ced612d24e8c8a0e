#include "heatherfork/detail/scheduling/slowness.h"

#include <algorithm>
#include <cmath>

namespace heatherfork::detail {

namespace {

constexpr double kNewestWeight = 0.5;

// A new observation replaces a value older than this instead of averaging.
constexpr Duration kStaleAge = Milliseconds(500);
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 16;

} // namespace

void
Slowness::Observe(Instant aNow, double aRatio)
{
  const double ratio = std::clamp(aRatio, kMinRatio, kMaxRatio);
  const double newest = aNow - mObservedAt > kStaleAge ? 1 : kNewestWeight;
  mRatio += newest * (ratio - mRatio);
  mObservedAt = aNow;
}

double
Slowness::Decayed(Instant aNow, const SchedulingSettings& aSettings) const
{
  const auto age = static_cast<double>((aNow - mObservedAt).count());
  const auto half = static_cast<double>(aSettings.mSlownessHalfLife.count());
  return 1 + (mRatio - 1) * std::exp2(-age / half);
}

} // namespace heatherfork::detail
