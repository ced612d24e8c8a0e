#include "turn_queue.h"

namespace heatherfork::stand_in {

void
TurnQueue::WaitForTurn(int aPriority)
{
  std::unique_lock lock(mMutex);
  const auto ticket = std::make_pair(-aPriority, ++mArrivalCount);
  mWaiting.insert(ticket);
  mChanged.wait(lock, [&] { return !mIsBusy && *mWaiting.begin() == ticket; });
  mWaiting.erase(ticket);
  mIsBusy = true;
}

void
TurnQueue::EndTurn()
{
  const std::lock_guard lock(mMutex);
  mIsBusy = false;
  mChanged.notify_all();
}

int
TurnQueue::WaitingCount() const
{
  const std::lock_guard lock(mMutex);
  return static_cast<int>(mWaiting.size());
}

} // namespace heatherfork::stand_in
