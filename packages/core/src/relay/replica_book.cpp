#include "heatherfork/detail/relay/replica_book.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// Replicas write again about two seconds after the store is back; a little more
// for the way of the news.
constexpr Duration kEntriesReturn = Milliseconds(2200);

} // namespace

void
ReplicaBook::OnReach(Instant aNow, bool aIsReached)
{
  if (aIsReached && !mIsReached) {
    mReachedAt = aNow;
  }
  mWasLost = mWasLost || (mIsReached && !aIsReached);
  mIsReached = aIsReached;
}

bool
ReplicaBook::IsUnsure(Instant aNow) const
{
  return mWasLost && (!mIsReached || aNow - mReachedAt < kEntriesReturn);
}

void
ReplicaBook::OnPublished(Instant aNow, Replicas aPublished)
{
  if (IsUnsure(aNow)) {
    for (const Replica& replica : mPublished) {
      if (FindReplica(aPublished, replica.mName) == nullptr) {
        mHeld.try_emplace(replica.mName, replica);
      }
    }
  } else {
    mHeld.clear();
  }
  for (const Replica& replica : aPublished) {
    mHeld.erase(replica.mName);
  }
  mPublished = std::move(aPublished);
  Rebuild();
}

bool
ReplicaBook::Expire(Instant aNow)
{
  if (mHeld.empty() || IsUnsure(aNow)) {
    return false;
  }
  mHeld.clear();
  Rebuild();
  return true;
}

void
ReplicaBook::Rebuild()
{
  mInForce = mPublished;
  for (const auto& [name, replica] : mHeld) {
    mInForce.push_back(replica);
  }
  std::sort(mInForce.begin(), mInForce.end());
}

} // namespace heatherfork::detail
