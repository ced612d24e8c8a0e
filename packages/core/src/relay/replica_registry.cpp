#include "heatherfork/detail/relay/replica_registry.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// Replicas write their entries again about 2 s after the store returns; 200 ms
// cover the propagation to this node.
constexpr Duration kRepublishDelay = Milliseconds(2200);

} // namespace

void
ReplicaRegistry::OnStoreReachability(Instant aNow, bool aIsReachable)
{
  if (aIsReachable && !mIsStoreReachable) {
    mStoreReachableSince = aNow;
  }
  mWasStoreLost = mWasStoreLost || (mIsStoreReachable && !aIsReachable);
  mIsStoreReachable = aIsReachable;
}

void
ReplicaRegistry::OnStoreRestored(Instant aNow)
{
  mUnreliableUntil = aNow + kRepublishDelay;
}

bool
ReplicaRegistry::AreEntriesUnreliable(Instant aNow) const
{
  const bool isAfterOutage =
    mWasStoreLost &&
    (!mIsStoreReachable || aNow - mStoreReachableSince < kRepublishDelay);
  return isAfterOutage || aNow < mUnreliableUntil;
}

void
ReplicaRegistry::OnPublished(Instant aNow, Replicas aPublished)
{
  if (AreEntriesUnreliable(aNow)) {
    for (const Replica& replica : mPublished) {
      if (FindReplica(aPublished, replica.mName) == nullptr) {
        mRetained.try_emplace(replica.mName, replica);
      }
    }
  } else {
    mRetained.clear();
  }
  for (const Replica& replica : aPublished) {
    mRetained.erase(replica.mName);
  }
  mLeaving.OnPublished(aNow, aPublished);
  mPublished = std::move(aPublished);
  RebuildEffective();
}

bool
ReplicaRegistry::MarkLeaving(Instant aNow, const LeavingServer& aServer)
{
  const bool isNew = mLeaving.Add(aNow, aServer);
  if (isNew) {
    RebuildEffective();
  }
  return isNew;
}

std::vector<LeavingServer>
ReplicaRegistry::LeavingUnpublished() const
{
  std::vector<LeavingServer> servers;
  for (const Replica& replica : mPublished) {
    if (!replica.mLeaving && mLeaving.Contains(replica)) {
      servers.push_back({ replica.mName, replica.mStartedAt });
    }
  }
  return servers;
}

bool
ReplicaRegistry::Expire(Instant aNow)
{
  if (mRetained.empty() || AreEntriesUnreliable(aNow)) {
    return false;
  }
  mRetained.clear();
  RebuildEffective();
  return true;
}

void
ReplicaRegistry::RebuildEffective()
{
  mEffective = mPublished;
  for (const auto& [name, replica] : mRetained) {
    mEffective.push_back(replica);
  }
  for (Replica& replica : mEffective) {
    replica.mLeaving = replica.mLeaving || mLeaving.Contains(replica);
  }
  std::sort(mEffective.begin(), mEffective.end());
}

} // namespace heatherfork::detail
