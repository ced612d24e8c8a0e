#include "heatherfork/detail/scheduling/duration_estimate.h"

namespace heatherfork::detail {

namespace {

// The factor of RFC 6298.
constexpr int kDeviations = 4;

} // namespace

void
DurationEstimate::Observe(Duration aSample)
{
  if (!mHasSamples) {
    mHasSamples = true;
    mMean = aSample;
    mDeviation = std::chrono::abs(aSample) / 2;
    return;
  }
  const Duration error = aSample - mMean;
  mDeviation += (std::chrono::abs(error) - mDeviation) / mDeviationDivisor;
  mMean += error / mMeanDivisor;
}

Duration
DurationEstimate::Upper() const
{
  return mMean + kDeviations * mDeviation;
}

} // namespace heatherfork::detail
