#include "heatherfork/detail/scheduling/wait_queue.h"

#include <algorithm>
#include <limits>

namespace heatherfork::detail {

// Start-time fair queueing: a workspace that sends much more than its share
// gets start times far ahead of the virtual time and waits behind the others.
void
WaitQueue::Push(Lane aLane, Waiting aWaiting, double aCost, double aWeight)
{
  double& finish = mFinish[aWaiting.mPlace.mWorkspace];
  const double start = std::max(mVirtualNow, finish);
  finish = start + aCost / std::max(aWeight, 1e-6);
  const Key key{ aLane,
                 -aWaiting.mPriority,
                 start,
                 aWaiting.mPlace.mDeadline,
                 aWaiting.mPlace.mAttempt };
  mKeys[key.mAttempt] = key;
  if (aWaiting.mPlace.mIsolate) {
    mIsolated.insert(key);
  }
  mEntries.emplace(key, std::move(aWaiting));
}

void
WaitQueue::Move(const Key& aKey, Lane aLane)
{
  Key moved = aKey;
  moved.mLane = aLane;
  Rekey(aKey, moved);
}

Waiting
WaitQueue::Take(const Key& aKey)
{
  mVirtualNow = std::max(mVirtualNow, aKey.mStart);
  auto entry = mEntries.extract(aKey);
  Forget(entry.key());
  // Workspaces behind the virtual time carry no debt: they need no entry.
  if (mEntries.empty()) {
    mFinish.clear();
    mVirtualNow = 0;
  }
  return std::move(entry.mapped());
}

void
WaitQueue::MakeUrgent(const Key& aKey)
{
  Key moved = aKey;
  moved.mLane = Lane::kWaiting;
  moved.mLowPriority = std::numeric_limits<int>::min();
  Rekey(aKey, moved);
  mEntries.at(moved).mIsUrgent = true;
}

void
WaitQueue::Rekey(const Key& aOld, const Key& aNew)
{
  auto entry = mEntries.extract(aOld);
  entry.key() = aNew;
  mEntries.insert(std::move(entry));
  mKeys[aNew.mAttempt] = aNew;
  if (mIsolated.erase(aOld) > 0) {
    mIsolated.insert(aNew);
  }
}

void
WaitQueue::Forget(const Key& aKey)
{
  mIsolated.erase(aKey);
  mKeys.erase(aKey.mAttempt);
}

const WaitQueue::Key*
WaitQueue::FirstIsolated() const
{
  return mIsolated.empty() ? nullptr : &*mIsolated.begin();
}

bool
WaitQueue::Contains(const AttemptId& aAttempt) const
{
  return mKeys.contains(aAttempt);
}

bool
WaitQueue::Remove(const AttemptId& aAttempt)
{
  const auto it = mKeys.find(aAttempt);
  if (it == mKeys.end()) {
    return false;
  }
  const Key key = it->second;
  mEntries.erase(key);
  Forget(key);
  return true;
}

} // namespace heatherfork::detail
