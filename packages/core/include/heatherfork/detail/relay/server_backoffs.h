#pragma once

#include <map>
#include <vector>

#include "heatherfork/detail/relay/relay_context.h"
#include "heatherfork/detail/relay/replica_starts.h"

/// Times for which replicas want no requests from this node.
namespace heatherfork::detail {

class ServerBackoffs
{
public:
  /// The replica turned a request away and named a time. Returns whether the
  /// time is a new one.
  bool OnNamed(RelayContext& aContext,
               const Replica& aReplica,
               Duration aBackoff);

  /// It named no valid time. Logged once for each start of a replica.
  void OnMalformed(RelayContext& aContext, const Replica& aReplica);

  /// The time that is left; 0 if the replica takes requests.
  Duration Left(Instant aNow, const ServerName& aServer) const;

  /// The replicas that want no requests.
  std::vector<ServerName> All(Instant aNow) const;

  bool Empty() const { return mUntil.empty(); }

  /// Drops replicas that are gone or have started again.
  void OnReplicas(const Replicas& aReplicas);
  void Expire(Instant aNow);

private:
  struct Until
  {
    std::int64_t mStartedAt = 0;
    Instant mAt{};
  };

  std::map<ServerName, Until> mUntil;
  ReplicaStarts mMalformed;
};

} // namespace heatherfork::detail
