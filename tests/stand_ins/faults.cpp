#include "faults.h"

namespace heatherfork::stand_in {

Faults
WithChanges(Faults aFaults, const Poco::JSON::Object& aChanges)
{
  aFaults.mIsDown = aChanges.optValue("down", aFaults.mIsDown);
  aFaults.mIsFrozen = aChanges.optValue("freeze", aFaults.mIsFrozen);
  aFaults.mStallsTransfers =
    aChanges.optValue("stall_transfers", aFaults.mStallsTransfers);
  aFaults.mIsHeadStale = aChanges.optValue("stale_head", aFaults.mIsHeadStale);
  aFaults.mClosesUnanswered =
    aChanges.optValue("close_unanswered", aFaults.mClosesUnanswered);
  aFaults.mClosesKeptAlive =
    aChanges.optValue("close_kept_alive", aFaults.mClosesKeptAlive);
  aFaults.mSlowdownFactor = aChanges.optValue("slow", aFaults.mSlowdownFactor);
  aFaults.mCutAfterTokens =
    aChanges.optValue("cut_after", aFaults.mCutAfterTokens);
  aFaults.mAnswerDelayMs =
    aChanges.optValue("answer_late_ms", aFaults.mAnswerDelayMs);
  aFaults.mFailStatus = aChanges.optValue("fail_status", aFaults.mFailStatus);
  aFaults.mCrashMarker =
    aChanges.optValue("crash_marker", aFaults.mCrashMarker);
  return aFaults;
}

Faults
FaultSwitch::Current() const
{
  const std::lock_guard lock(mMutex);
  return mFaults;
}

void
FaultSwitch::Apply(const Poco::JSON::Object& aChanges)
{
  const std::lock_guard lock(mMutex);
  mFaults = WithChanges(mFaults, aChanges);
  mChanged.notify_all();
}

void
FaultSwitch::WaitWhileFrozen() const
{
  std::unique_lock lock(mMutex);
  mChanged.wait(lock, [this] { return !mFaults.mIsFrozen; });
}

void
FaultSwitch::WaitWhileStalled() const
{
  std::unique_lock lock(mMutex);
  mChanged.wait(lock, [this] { return !mFaults.mStallsTransfers; });
}

} // namespace heatherfork::stand_in
