#pragma once

#include <map>

#include "heatherfork/routing.h"

/// Remembers one thing about each start of a replica.
namespace heatherfork::detail {

class ReplicaStarts
{
public:
  /// Returns whether this start of the replica is new.
  bool Add(const Replica& aReplica);

  /// Drops replicas that are gone or have started again.
  void OnReplicas(const Replicas& aReplicas);

private:
  std::map<ServerName, std::int64_t> mStarts;
};

/// Whether the replica is there, in the same incarnation.
bool
IsCurrent(const Replicas& aReplicas,
          const ServerName& aServer,
          std::int64_t aStartedAt);

} // namespace heatherfork::detail
