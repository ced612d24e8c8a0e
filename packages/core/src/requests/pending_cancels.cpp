#include "heatherfork/detail/requests/pending_cancels.h"

namespace heatherfork::detail {

void
PendingCancels::Add(Context& aContext,
                    const AttemptId& aAttempt,
                    const ServerName& aServer,
                    const Address& aAddress)
{
  Begin(aContext, CancelKey{ aAttempt, aServer }, aAddress, CancelCall{});
}

void
PendingCancels::AddRange(Context& aContext,
                         const CancelRangeCall& aRange,
                         const ServerName& aServer,
                         const Address& aAddress)
{
  // No attempt has the sequence 0, so the key of a range is unique.
  const AttemptId all{ aRange.mIncarnation, 0 };
  Begin(aContext, CancelKey{ all, aServer }, aAddress, aRange);
}

void
PendingCancels::Begin(Context& aContext,
                      const CancelKey& aKey,
                      const Address& aAddress,
                      const ServerCall& aCall)
{
  Cancel& cancel = mCancels[aKey];
  cancel.mAddress = aAddress;
  cancel.mCall = aCall;
  cancel.mGiveUp = aContext.mNow + aContext.mSettings.mPolicy.mCancelGiveUp;
  Send(aContext, aKey, cancel);
}

void
PendingCancels::On(const ServerReplied& aReplied)
{
  const CallStatus status = aReplied.mReply.mStatus;
  if (status == CallStatus::kOk || status == CallStatus::kRefused) {
    mCancels.erase(CancelKey{ aReplied.mAttempt, aReplied.mServer });
  }
}

void
PendingCancels::On(Context& aContext, const TimerFired&)
{
  if (aContext.mNow < mNextScan) {
    return;
  }
  mNextScan = aContext.mNow + aContext.mSettings.mPolicy.mCancelRetry / 4;
  for (auto it = mCancels.begin(); it != mCancels.end();) {
    if (it->second.mGiveUp <= aContext.mNow) {
      it = mCancels.erase(it);
      continue;
    }
    if (it->second.mNextSend <= aContext.mNow) {
      Send(aContext, it->first, it->second);
    }
    ++it;
  }
}

void
PendingCancels::Send(Context& aContext,
                     const CancelKey& aKey,
                     Cancel& aCancel) const
{
  const Duration retry = aContext.mSettings.mPolicy.mCancelRetry;
  aCancel.mNextSend = aContext.mNow + retry;
  aContext.Emit(CallServer{ aKey.first,
                            aKey.second,
                            aCancel.mAddress,
                            aContext.mNow + retry,
                            aCancel.mCall });
}

} // namespace heatherfork::detail
