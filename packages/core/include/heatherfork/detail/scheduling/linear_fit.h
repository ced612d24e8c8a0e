#pragma once

/// Linear regression over a stream of samples.
namespace heatherfork::detail {

/// Least-squares fit of y = base + slope * x with exponential forgetting. Base
/// and slope are never negative.
class LinearFit
{
public:
  /// Starts from the prior y = aBase + aSlope * x, sampled at 0 and aSpan.
  /// Later samples gradually replace it.
  LinearFit(double aBase, double aSlope, double aSpan);

  void Observe(double aX, double aY);
  double Predict(double aX) const;
  double Base() const { return mBase; }
  double Slope() const { return mSlope; }

private:
  void Add(double aX, double aY);
  void Solve();

  double mWeightSum = 0;
  double mSumX = 0;
  double mSumY = 0;
  double mSumXX = 0;
  double mSumXY = 0;
  double mBase = 0;
  double mSlope = 0;
};

} // namespace heatherfork::detail
