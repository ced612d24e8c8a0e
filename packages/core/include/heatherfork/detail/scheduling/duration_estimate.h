#pragma once

#include "heatherfork/time.h"

/// Estimate of a duration that varies.
namespace heatherfork::detail {

/// Smallest retransmission timeout of Linux. A lost packet delays an answer by
/// as much, so a shorter silence is no evidence of a failed sender.
inline constexpr Duration kMinRetransmission = Milliseconds(200);

/// Moving mean and mean deviation, as for retransmission timeouts (RFC 6298).
class DurationEstimate
{
public:
  DurationEstimate() = default;

  /// Each sample gets the weight 1/aDivisor, in the mean and the deviation.
  explicit DurationEstimate(int aDivisor)
    : mMeanDivisor(aDivisor)
    , mDeviationDivisor(aDivisor)
  {
  }
  DurationEstimate(Duration aMean, Duration aDeviation)
    : mHasSamples(true)
    , mMean(aMean)
    , mDeviation(aDeviation)
  {
  }

  void Observe(Duration aSample);

  bool HasSamples() const { return mHasSamples; }

  Duration Mean() const { return mMean; }
  Duration Deviation() const { return mDeviation; }

  /// Nearly all samples are below it. Zero without samples.
  Duration Upper() const;

private:
  // The gains of RFC 6298.
  int mMeanDivisor = 8;
  int mDeviationDivisor = 4;
  bool mHasSamples = false;
  Duration mMean{};
  Duration mDeviation{};
};

} // namespace heatherfork::detail
