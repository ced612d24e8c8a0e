#include "heatherfork/detail/relay/replica_starts.h"

namespace heatherfork::detail {

bool
ReplicaStarts::Add(const Replica& aReplica)
{
  const auto [it, isNew] =
    mStarts.try_emplace(aReplica.mName, aReplica.mStartedAt);
  const bool isNewStart = isNew || it->second != aReplica.mStartedAt;
  it->second = aReplica.mStartedAt;
  return isNewStart;
}

void
ReplicaStarts::OnReplicas(const Replicas& aReplicas)
{
  std::erase_if(mStarts, [&](const auto& aItem) {
    return !IsCurrent(aReplicas, aItem.first, aItem.second);
  });
}

bool
IsCurrent(const Replicas& aReplicas,
          const ServerName& aServer,
          std::int64_t aStartedAt)
{
  const Replica* replica = FindReplica(aReplicas, aServer);
  return replica != nullptr && replica->mStartedAt == aStartedAt;
}

} // namespace heatherfork::detail
