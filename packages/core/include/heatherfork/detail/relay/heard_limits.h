#pragma once

#include <map>
#include <optional>
#include <vector>

#include "heatherfork/detail/relay/once_per_start.h"
#include "heatherfork/detail/relay/relay_context.h"
#include "heatherfork/server_limit.h"

/// Limits that replicas named in answers to this node.
namespace heatherfork::detail {

/// Reports received limits to the schedulers that place on the replicas.
class HeardLimits
{
public:
  /// An answer named a limit, or named none though one is in force. Returns
  /// whether it must be reported to a scheduler now.
  bool OnAnswer(RelayContext& aContext,
                const Replica& aReplica,
                const std::optional<RequestRate>& aRate);

  /// An answer had a field that names no valid limit. Logged once for each
  /// incarnation of a replica.
  void OnMalformed(RelayContext& aContext, const Replica& aReplica);

  /// Sends a scheduler what it has not been sent yet.
  void Report(RelayContext& aContext, const NodeId& aScheduler);

  /// Drops limits of replicas that are gone or have started again.
  void OnReplicas(const Replicas& aReplicas);
  void OnNodeGone(const NodeId& aNode) { mReportedAt.erase(aNode); }

  /// The limits in force, as received by this node.
  std::vector<ServerLimit> All(Instant aNow) const;

private:
  struct Heard
  {
    std::int64_t mStartedAt = 0;
    std::optional<RequestRate> mRate;
    Instant mHeardAt{};
    Instant mReportFrom{}; ///< Reports before this time lack it.
  };

  std::map<ServerName, Heard> mHeard;
  OncePerStart mMalformed;
  std::map<NodeId, Instant> mReportedAt;
};

} // namespace heatherfork::detail
