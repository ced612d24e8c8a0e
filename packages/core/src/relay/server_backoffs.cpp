#include "heatherfork/detail/relay/server_backoffs.h"

#include <algorithm>

#include "heatherfork/detail/relay/log_value.h"

namespace heatherfork::detail {

namespace {

// A longer backoff would take the replica out of use, so it is invalid.
constexpr Duration kMaxBackoff = Milliseconds(3600000);

} // namespace

bool
ServerBackoffs::OnNamed(RelayContext& aContext,
                        const Replica& aReplica,
                        Duration aBackoff)
{
  if (aBackoff > kMaxBackoff) {
    OnMalformed(aContext, aReplica);
    return false;
  }
  if (aBackoff <= Duration{}) {
    return false;
  }
  const Duration left = Left(aContext.Now(), aReplica.mName);
  Until& until = mUntil[aReplica.mName];
  const bool isNew =
    left == Duration{} || until.mStartedAt != aReplica.mStartedAt;
  const Instant at = aContext.Now() + aBackoff;
  // Answers to requests on different connections may overtake each other.
  until.mAt = isNew ? at : std::max(until.mAt, at);
  until.mStartedAt = aReplica.mStartedAt;
  if (isNew) {
    aContext.Emit(
      RelayLogEntry{ "server-backoff",
                     "",
                     "server=" + LogValue(aReplica.mName.mValue) +
                       " for_ms=" + std::to_string(ToMilliseconds(aBackoff)) });
  }
  return isNew;
}

void
ServerBackoffs::OnMalformed(RelayContext& aContext, const Replica& aReplica)
{
  mMalformed.Log(aContext, "server-backoff-malformed", aReplica);
}

Duration
ServerBackoffs::Left(Instant aNow, const ServerName& aServer) const
{
  const auto it = mUntil.find(aServer);
  return it == mUntil.end() ? Duration{}
                            : std::max(Duration{}, it->second.mAt - aNow);
}

std::vector<ServerName>
ServerBackoffs::All(Instant aNow) const
{
  std::vector<ServerName> servers;
  for (const auto& [server, until] : mUntil) {
    if (until.mAt > aNow) {
      servers.push_back(server);
    }
  }
  return servers;
}

void
ServerBackoffs::OnReplicas(const Replicas& aReplicas)
{
  std::erase_if(mUntil, [&](const auto& aItem) {
    return !IsCurrent(aReplicas, aItem.first, aItem.second.mStartedAt);
  });
  mMalformed.OnReplicas(aReplicas);
}

void
ServerBackoffs::Expire(Instant aNow)
{
  std::erase_if(mUntil,
                [&](const auto& aItem) { return aItem.second.mAt <= aNow; });
}

} // namespace heatherfork::detail
