#include "heatherfork/detail/relay/exchange.h"

/// Pauses in reading a stream from its replica.
namespace heatherfork::relay {

namespace {

// Of one stream whose caller reads more slowly than its replica sends.
constexpr std::size_t kMaxUnreadStreamBytes = std::size_t{ 2 } << 20;

} // namespace

// Events that the caller has not read are charged to the budget of answers, as
// whole answers are. Without room, or with too many of them, the replica waits:
// TCP holds what it sends. Streams take no room from others, as they can wait.
void
Exchange::SendEvents(const std::string& aBytes)
{
  const std::size_t unread = mResponse.UnreadBytes();
  if (unread == 0) {
    mResponse.Send(aBytes);
    return;
  }
  const bool hasRoom = mResponse.TrySend(aBytes, mContext.mAnswerBudget);
  if (!hasRoom) {
    mResponse.Send(aBytes);
  }
  if (!hasRoom || unread > kMaxUnreadStreamBytes) {
    mIsReaderBehind = true;
    mServerConnection->PauseReading();
  }
}

// The replica waits for the connection meanwhile: TCP holds what it sends.
void
Exchange::PauseIfTooFast(std::size_t aBytes, int aEvents)
{
  const Instant now = SteadyNow();
  mPace.Spend(aBytes, aEvents, now);
  if (mPace.MayRead(now)) {
    return;
  }
  mServerConnection->PauseReading();
  if (!mHasLoggedPause) {
    mHasLoggedPause = true;
    mContext.mLog({ "stream-paced",
                    mRequestId,
                    "address=" + mCall->mAddress.mValue +
                      " events=" + std::to_string(mEventsInCall) +
                      " bytes=" + std::to_string(mReceivedBytes) });
  }
}

} // namespace heatherfork::relay
