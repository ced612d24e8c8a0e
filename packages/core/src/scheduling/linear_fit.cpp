#include "heatherfork/detail/scheduling/linear_fit.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// Weight factor of older samples per new sample.
constexpr double kForgettingFactor = 0.99;
constexpr double kEpsilon = 1e-9;

} // namespace

LinearFit::LinearFit(double aBase, double aSlope, double aSpan)
{
  Add(0, aBase);
  Add(aSpan, aBase + aSlope * aSpan);
  Solve();
}

void
LinearFit::Observe(double aX, double aY)
{
  Add(aX, aY);
  Solve();
}

double
LinearFit::Predict(double aX) const
{
  return mBase + mSlope * aX;
}

void
LinearFit::Add(double aX, double aY)
{
  mWeightSum = mWeightSum * kForgettingFactor + 1;
  mSumX = mSumX * kForgettingFactor + aX;
  mSumY = mSumY * kForgettingFactor + aY;
  mSumXX = mSumXX * kForgettingFactor + aX * aX;
  mSumXY = mSumXY * kForgettingFactor + aX * aY;
}

// Samples at a single x do not determine the slope; the previous one is kept.
void
LinearFit::Solve()
{
  const double determinant = mWeightSum * mSumXX - mSumX * mSumX;
  if (determinant > kEpsilon * std::max(1.0, mSumXX)) {
    mSlope = std::max(0.0, (mWeightSum * mSumXY - mSumX * mSumY) / determinant);
  }
  mBase = (mSumY - mSlope * mSumX) / mWeightSum;
  if (mBase < 0) {
    mBase = 0;
    mSlope = mSumXX > kEpsilon ? std::max(0.0, mSumXY / mSumXX) : mSlope;
  }
}

} // namespace heatherfork::detail
