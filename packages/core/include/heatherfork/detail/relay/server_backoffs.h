#pragma once

#include <map>
#include <vector>

#include "heatherfork/detail/relay/once_per_start.h"
#include "heatherfork/detail/relay/relay_context.h"

/// Backoffs that replicas have asked this node for.
namespace heatherfork::detail {

class ServerBackoffs
{
public:
  /// The replica rejected a request and asked for a backoff. Returns whether
  /// none was in force.
  bool OnNamed(RelayContext& aContext,
               const Replica& aReplica,
               Duration aBackoff);

  /// The backoff is invalid. Logged once for each start of a replica.
  void OnMalformed(RelayContext& aContext, const Replica& aReplica);

  /// Time until the replica accepts requests again; 0 if it does now.
  Duration Left(Instant aNow, const ServerName& aServer) const;

  /// The replicas with a backoff in force.
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
  OncePerStart mMalformed;
};

} // namespace heatherfork::detail
