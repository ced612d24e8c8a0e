#include "heatherfork/detail/stopping/planned_stop.h"

namespace heatherfork::detail {

namespace {

// Other nodes may still name this one in their entries until they have learned
// that it is leaving.
constexpr Duration kLeavingPropagationTime = Milliseconds(2000);

Duration
EntriesExpiryDelay(const Context& aContext)
{
  if (aContext.mConfiguration == nullptr) {
    return Duration(0);
  }
  const bool isOnlyNode = aContext.mMembers.size() <= 1;
  return aContext.mConfiguration->mLimits.mEntriesValidity +
         (isOnlyNode ? Duration(0) : kLeavingPropagationTime);
}

} // namespace

void
PlannedStop::On(Context& aContext, const StopRequested&)
{
  if (!mRequestedAt) {
    mRequestedAt = aContext.mNow;
  }
}

void
PlannedStop::On(Context& aContext, const TimerFired&, RequestReducer& aRequests)
{
  if (!mRequestedAt || mHasExited ||
      aContext.mNow < *mRequestedAt + EntriesExpiryDelay(aContext)) {
    return;
  }
  aRequests.SetLeaving();
  if (aRequests.IsIdle()) {
    mHasExited = true;
    aContext.Emit(ExitProcess{});
  }
}

} // namespace heatherfork::detail
