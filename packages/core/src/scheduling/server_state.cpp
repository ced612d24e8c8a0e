#include "heatherfork/detail/scheduling/server_state.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

constexpr int kMaxBackoffDoublings = 10;

// Allowance for message delays in one step, which say nothing about the speed
// of the server.
constexpr Duration kMessageDelay = Milliseconds(10);

// An overdue step is predicted to take another 1/kOverdueDivisor of its elapsed
// time.
constexpr int kOverdueDivisor = 4;

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

// Differences below the tolerance are noise. Acting on them would move load to
// servers that happened to be faster last time.
double
IgnoreTolerated(double aRatio, const SchedulingSettings& aSettings)
{
  return aRatio < aSettings.mToleratedSlowness ? 1 : aRatio;
}

} // namespace

ServerState::ServerState(BackendServer aServer, Instant aKnownSince)
  : mServer(std::move(aServer))
  , mKnownSince(aKnownSince)
{
}

void
ServerState::Hold(int aPieces)
{
  ++mHeldSlots;
  mHeldPieces += aPieces;
}

void
ServerState::Release(int aPieces)
{
  --mHeldSlots;
  mHeldPieces -= aPieces;
}

void
ServerState::BeginDecoding(Instant aNow)
{
  mBatchTime = BatchTime(aNow);
  mBatchChangedAt = aNow;
  ++mDecoding;
}

void
ServerState::EndDecoding(Instant aNow)
{
  mBatchTime = BatchTime(aNow);
  mBatchChangedAt = aNow;
  --mDecoding;
}

double
ServerState::BatchTime(Instant aNow) const
{
  const auto since = static_cast<double>((aNow - mBatchChangedAt).count());
  return mBatchTime + since * mDecoding;
}

// Load reports lag behind. They are only used during the takeover period, while
// the local state is incomplete.
int
ServerState::Running(Instant aNow, const SchedulingSettings& aSettings) const
{
  return TrustsReport(aNow, aSettings) ? std::max(mHeldSlots, mReport.mRunning)
                                       : mHeldSlots;
}

int
ServerState::FreePieces(Instant aNow, const SchedulingSettings& aSettings) const
{
  const int own = mServer.mPieces - mHeldPieces;
  return TrustsReport(aNow, aSettings) ? std::min(own, mReport.mFreePieces)
                                       : own;
}

bool
ServerState::TrustsReport(Instant aNow,
                          const SchedulingSettings& aSettings) const
{
  return aNow - mKnownSince < aSettings.mTakeoverPeriod &&
         mReport.mMeasuredAt != Instant{} &&
         aNow - mReport.mMeasuredAt < aSettings.mReportLifetime;
}

void
ServerState::AddPendingStep(const PendingStep& aStep)
{
  mPendingSteps.push_back(aStep);
}

Duration
ServerState::EndPendingStep(Instant aNow, const AttemptId& aAttempt, bool aRan)
{
  const auto it = std::find_if(
    mPendingSteps.begin(), mPendingSteps.end(), [&](const PendingStep& aStep) {
      return aStep.mAttempt == aAttempt;
    });
  if (it == mPendingSteps.end()) {
    return Duration{};
  }
  const Duration took = aNow - std::max(it->mPlacedAt, mStepEndedAt);
  mPendingSteps.erase(it);
  if (aRan) {
    mStepEndedAt = aNow;
  }
  return took;
}

double
ServerState::OverdueRatio(Instant aNow) const
{
  if (mPendingSteps.empty()) {
    return 0;
  }
  const PendingStep& head = mPendingSteps.front();
  const Duration elapsed = aNow - std::max(head.mPlacedAt, mStepEndedAt);
  return static_cast<double>(elapsed.count()) /
         static_cast<double>((head.mWork + kMessageDelay).count());
}

Instant
ServerState::FreeAt(Instant aNow, const SchedulingSettings& aSettings) const
{
  if (mPendingSteps.empty()) {
    return aNow;
  }
  const double slowness = CurrentSlowness(aNow, aSettings);
  const PendingStep& head = mPendingSteps.front();
  const Instant started = std::max(head.mPlacedAt, mStepEndedAt);
  const Instant overdue = aNow + (aNow - started) / kOverdueDivisor;
  const Instant expected =
    started + kMessageDelay + Scaled(head.mWork, slowness);
  Instant free = expected < aNow ? overdue : expected;
  for (std::size_t n = 1; n < mPendingSteps.size(); ++n) {
    free += Scaled(mPendingSteps[n].mWork, slowness);
  }
  return free;
}

double
ServerState::CurrentSlowness(Instant aNow,
                             const SchedulingSettings& aSettings) const
{
  if (!aSettings.mUseStragglerDetection) {
    return 1;
  }
  const double overdue = OverdueRatio(aNow);
  // Decay only lowers a ratio above 1, so a tolerated one needs no evaluation
  // of exp2.
  if (mSlowness.Remembered() < aSettings.mToleratedSlowness) {
    return IgnoreTolerated(overdue, aSettings);
  }
  return IgnoreTolerated(std::max(mSlowness.Decayed(aNow, aSettings), overdue),
                         aSettings);
}

double
ServerState::RememberedSlowness(Instant aNow,
                                const SchedulingSettings& aSettings) const
{
  if (!aSettings.mUseStragglerDetection) {
    return 1;
  }
  if (mSlowness.Remembered() < aSettings.mToleratedSlowness) {
    return IgnoreTolerated(OverdueRatio(aNow), aSettings);
  }
  // Only a ratio above the straggler threshold is kept without decay. A server
  // below it is not probed and could stay over its batch limit indefinitely,
  // without work that would correct the estimate.
  const double remembered =
    mSlowness.Remembered() > aSettings.mStragglerThreshold
      ? mSlowness.Remembered()
      : mSlowness.Decayed(aNow, aSettings);
  return IgnoreTolerated(std::max(remembered, OverdueRatio(aNow)), aSettings);
}

void
ServerState::RecordFailure(Instant aNow, const SchedulingSettings& aSettings)
{
  const Duration backoff = aSettings.mFailureBackoff *
                           (1 << std::min(mFailures, kMaxBackoffDoublings));
  mBlockedUntil = aNow + std::min(backoff, aSettings.mFailureBackoffLimit);
  ++mFailures;
}

bool
ServerState::CanProbe(Instant aNow, const SchedulingSettings& aSettings) const
{
  return aNow - mProbedAt >= aSettings.mProbeInterval &&
         aNow - mSlowness.ObservedAt() >= aSettings.mProbeInterval;
}

} // namespace heatherfork::detail
