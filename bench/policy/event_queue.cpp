#include "event_queue.h"

#include <algorithm>

namespace heatherfork::bench {

void
EventQueue::At(Instant aAt, Action aAction)
{
  mItems.push({ std::max(aAt, mNow), mNumber++, std::move(aAction) });
}

void
EventQueue::After(Duration aDelay, Action aAction)
{
  At(mNow + aDelay, std::move(aAction));
}

void
EventQueue::RunUntil(Instant aEnd)
{
  while (!mItems.empty() && mItems.top().mAt <= aEnd) {
    // top() is const; moving from the item is safe because it is popped below.
    Action action = std::move(const_cast<Item&>(mItems.top()).mAction);
    mNow = mItems.top().mAt;
    mItems.pop();
    action();
  }
  mNow = std::max(mNow, aEnd);
}

} // namespace heatherfork::bench
