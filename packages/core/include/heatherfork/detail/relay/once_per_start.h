#pragma once

#include <map>

#include "heatherfork/detail/relay/relay_context.h"

/// Log lines of which each start of a replica gets one.
namespace heatherfork::detail {

class OncePerStart
{
public:
  void Log(RelayContext& aContext, const char* aEvent, const Replica& aReplica);

  /// Drops replicas that are gone or have started again.
  void OnReplicas(const Replicas& aReplicas);

private:
  std::map<ServerName, std::int64_t> mStarts;
};

/// Whether the replica is published, in the same incarnation.
bool
IsCurrent(const Replicas& aReplicas,
          const ServerName& aServer,
          std::int64_t aStartedAt);

} // namespace heatherfork::detail
