#include "heatherfork/detail/scheduling/time_model.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// Allowance for message delays and rounding; keeps the ratios of short steps
// close to 1.
constexpr double kMessageDelayMicroseconds = 5000;

// A request joins the batch at the next step, on average after half a step.
constexpr double kStepsToFirstToken = 1.5;

constexpr double kMinPlausibleRatio = 0.4;
constexpr double kMaxPlausibleRatio = 1.8;

// Token times are averages and vary less.
constexpr double kMaxPlausibleTokenRatio = 1.3;

Duration
ToDuration(double aMicroseconds)
{
  return Duration(static_cast<std::int64_t>(aMicroseconds));
}

double
RatioOf(Duration aTook, double aExpected)
{
  const auto took = static_cast<double>(aTook.count());
  return (took + kMessageDelayMicroseconds) /
         (aExpected + kMessageDelayMicroseconds);
}

} // namespace

Duration
TimeModel::Prefill(int aUncachedTokens) const
{
  return ToDuration(mPrefill.Predict(aUncachedTokens));
}

Duration
TimeModel::Token(int aBatch) const
{
  return ToDuration(mToken.Predict(aBatch));
}

Duration
TimeModel::FirstStep(int aBatch) const
{
  return ToDuration(kStepsToFirstToken * mToken.Predict(aBatch));
}

Duration
TimeModel::Transfer(int aTokens) const
{
  return ToDuration(mTransfer.Predict(aTokens));
}

Duration
TimeModel::PlainCall() const
{
  return ToDuration(mPlainCall.Predict(0));
}

int
TimeModel::BatchLimit(const SchedulingSettings& aSettings,
                      int aSlots,
                      double aSlowness) const
{
  if (!aSettings.mUseBatchLimit || mToken.Slope() <= 0) {
    return aSlots;
  }
  const auto target = static_cast<double>(aSettings.mTokenTarget.count()) *
                      (100 - aSettings.mTokenMarginPercent) / 100;
  const double batch = (target / aSlowness - mToken.Base()) / mToken.Slope();
  // If the model itself is slow and not this server, at least half of the slots
  // are used so that requests are still served.
  const int minBatch = aSlowness > 1 ? 1 : std::max(1, aSlots / 2);
  return std::clamp(
    static_cast<int>(batch), minBatch, std::max(minBatch, aSlots));
}

double
TimeModel::LinkSlowness(Instant aNow,
                        const SchedulingSettings& aSettings,
                        const ZoneName& aFrom,
                        const ZoneName& aTo) const
{
  const auto it = mLinks.find({ aFrom, aTo });
  const bool isKnown = aSettings.mUseStragglerDetection && it != mLinks.end();
  return isKnown ? it->second.Decayed(aNow, aSettings) : 1;
}

bool
TimeModel::IsPlausible(double aRatio, double aMaxRatio) const
{
  return mAcceptAll || (aRatio > kMinPlausibleRatio && aRatio < aMaxRatio);
}

double
TimeModel::ObservePrefill(int aUncachedTokens, Duration aTook)
{
  const double ratio = RatioOf(aTook, mPrefill.Predict(aUncachedTokens));
  if (IsPlausible(ratio, kMaxPlausibleRatio)) {
    mPrefill.Observe(aUncachedTokens, static_cast<double>(aTook.count()));
  }
  return ratio;
}

double
TimeModel::ObserveFirstStep(int aBatch, Duration aTook) const
{
  return RatioOf(aTook, kStepsToFirstToken * mToken.Predict(aBatch));
}

void
TimeModel::ObserveTokens(double aBatch, double aTokenMicroseconds)
{
  const double ratio = (aTokenMicroseconds + kMessageDelayMicroseconds) /
                       (mToken.Predict(aBatch) + kMessageDelayMicroseconds);
  if (IsPlausible(ratio, kMaxPlausibleTokenRatio)) {
    mToken.Observe(aBatch, aTokenMicroseconds);
  }
}

double
TimeModel::ObservePlainCall(Duration aTook)
{
  const double ratio = RatioOf(aTook, mPlainCall.Predict(0));
  if (IsPlausible(ratio, kMaxPlausibleRatio)) {
    mPlainCall.Observe(0, static_cast<double>(aTook.count()));
  }
  return ratio;
}

void
TimeModel::ObserveTransfer(Instant aNow,
                           const ZoneName& aFrom,
                           const ZoneName& aTo,
                           int aTokens,
                           Duration aTook)
{
  const double ratio = RatioOf(aTook, mTransfer.Predict(aTokens));
  if (IsPlausible(ratio, kMaxPlausibleRatio)) {
    mTransfer.Observe(aTokens, static_cast<double>(aTook.count()));
  }
  mLinks[{ aFrom, aTo }].Observe(aNow, ratio);
}

} // namespace heatherfork::detail
