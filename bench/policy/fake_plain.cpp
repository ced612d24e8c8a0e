#include "engine_model.h"
#include "fake_engines.h"

namespace heatherfork::bench {

void
FakePlain::Call(const CallServer& aCall, CallHandlers aHandlers)
{
  if (IsDown()) {
    aHandlers.mReply(ServerReply{ CallStatus::kNotSent });
    return;
  }
  if (!std::holds_alternative<PlainCall>(aCall.mCall) ||
      mRunning >= Server().mSlots) {
    aHandlers.mReply(ServerReply{ CallStatus::kRefused });
    return;
  }
  ++mRunning;
  mQueue.After(MicrosToDuration(kPlainCallMicros * Slowness()),
               [this, aHandlers] {
                 --mRunning;
                 aHandlers.mReply(ServerReply{ CallStatus::kOk, "done" });
               });
}

LoadReport
FakePlain::Report() const
{
  return { mRunning, 0, 0, mQueue.Now() };
}

} // namespace heatherfork::bench
