#include "heatherfork/detail/scheduling/wait_queue.h"

#include <algorithm>
#include <limits>

namespace heatherfork::detail {

// Start-time fair queueing: a workspace that exceeds its share gets start times
// ahead of the virtual time and waits behind the others.
void
WaitQueue::Push(Lane aLane,
                QueuedRequest aRequest,
                double aCost,
                double aWeight)
{
  double& finish = mVirtualFinishes[aRequest.mPlace.mWorkspace];
  const double virtualStart = std::max(mVirtualTime, finish);
  finish = virtualStart + aCost / std::max(aWeight, 1e-6);
  const Key key{ aLane,
                 -aRequest.mPriority,
                 virtualStart,
                 aRequest.mPlace.mDeadline,
                 aRequest.mPlace.mAttempt };
  mKeys[key.mAttempt] = key;
  if (aRequest.mPlace.mIsolate) {
    mIsolated.insert(key);
  }
  mEntries.emplace(key, std::move(aRequest));
}

void
WaitQueue::Move(const Key& aKey, Lane aLane)
{
  Key newKey = aKey;
  newKey.mLane = aLane;
  ChangeKey(aKey, newKey);
}

QueuedRequest
WaitQueue::Take(const Key& aKey)
{
  mVirtualTime = std::max(mVirtualTime, aKey.mVirtualStart);
  auto entry = mEntries.extract(aKey);
  EraseIndexes(entry.key());
  // With an empty queue no workspace is ahead of its share: the finish times
  // are removed and the virtual time restarts.
  if (mEntries.empty()) {
    mVirtualFinishes.clear();
    mVirtualTime = 0;
  }
  return std::move(entry.mapped());
}

void
WaitQueue::MakeUrgent(const Key& aKey)
{
  Key newKey = aKey;
  newKey.mLane = Lane::kDeferred;
  newKey.mNegatedPriority = std::numeric_limits<int>::min();
  ChangeKey(aKey, newKey);
  mEntries.at(newKey).mIsUrgent = true;
}

void
WaitQueue::ChangeKey(const Key& aOld, const Key& aNew)
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
WaitQueue::EraseIndexes(const Key& aKey)
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
  EraseIndexes(key);
  return true;
}

} // namespace heatherfork::detail
