#include "heatherfork/detail/relay/once_per_start.h"

#include "heatherfork/detail/relay/log_value.h"

namespace heatherfork::detail {

void
OncePerStart::Log(RelayContext& aContext,
                  const char* aEvent,
                  const Replica& aReplica)
{
  const auto [it, isNew] =
    mStarts.try_emplace(aReplica.mName, aReplica.mStartedAt);
  if (isNew || it->second != aReplica.mStartedAt) {
    it->second = aReplica.mStartedAt;
    aContext.Emit(
      RelayLogEntry{ aEvent, "", "server=" + LogValue(aReplica.mName.mValue) });
  }
}

void
OncePerStart::OnReplicas(const Replicas& aReplicas)
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
