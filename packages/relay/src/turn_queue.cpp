#include "heatherfork/detail/relay/turn_queue.h"

namespace heatherfork::relay {

namespace {

TurnQueue::Key
TakeFront(std::deque<TurnQueue::Key>& aQueue)
{
  const TurnQueue::Key key = aQueue.front();
  aQueue.pop_front();
  return key;
}

} // namespace

void
TurnQueue::Add(Key aKey, bool aWasLong)
{
  (aWasLong ? mLong : mShort).push_back(aKey);
}

// The process may be stopped within a turn, so a round that is already over
// still serves one connection with long turns.
std::optional<TurnQueue::Key>
TurnQueue::TakeNext(Duration aUsed)
{
  const bool hasTime = aUsed < kRoundTime;
  if (hasTime && !mShort.empty()) {
    return TakeFront(mShort);
  }
  if ((hasTime || !mHasServedLong) && !mLong.empty()) {
    mHasServedLong = true;
    return TakeFront(mLong);
  }
  return std::nullopt;
}

} // namespace heatherfork::relay
