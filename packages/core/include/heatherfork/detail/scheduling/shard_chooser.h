#pragma once

#include <map>
#include <optional>

#include "heatherfork/detail/context.h"
#include "heatherfork/detail/scheduling/shard_map.h"

/// Selection of the shard, and thereby the scheduler, for a request.
namespace heatherfork::detail {

/// Selects among the shards of a pool by the delays that their schedulers
/// reported.
class ShardChooser
{
public:
  /// Sets aPlace.mShard and returns the scheduler of the shard, which may be
  /// this node. The incarnation is 0 when no shard serves the request.
  NodeId SchedulerFor(Context& aContext, PlaceRequest& aPlace);

  /// Returns the current scheduler of a shard; incarnation 0 when the shard
  /// does not exist.
  NodeId SchedulerOf(Context& aContext, const ShardId& aShard);

  /// Returns the scheduler of the server that runs a request and sets
  /// aPlace.mShard; incarnation 0 when no shard of the request contains the
  /// server.
  NodeId SchedulerForServer(Context& aContext,
                            PlaceRequest& aPlace,
                            const ServerName& aServer);

  /// Passes over a node that can't be reached, until a time. All nodes that
  /// pass over it choose the same one in its place.
  void Avoid(const NodeId& aNode, Instant aUntil);

  /// Records the delay in a reply. Must be called for every reply of a
  /// scheduler.
  void On(Context& aContext, const Placed& aPlaced);
  void On(Context& aContext, const PlacementRefused& aRefused);

private:
  struct ReportedDelay
  {
    Duration mDelay{};
    Instant mReportedAt{};
    int mSentSinceReport = 0; ///< Requests sent after the report.
  };

  void Update(const Context& aContext);
  Members ReachableMembers(const Context& aContext);
  NodeId SchedulerOf(const Context& aContext, const Shard& aShard);
  Duration CostOf(const Context& aContext, const Shard& aShard) const;
  const Shard* Choose(Context& aContext,
                      const std::vector<const Shard*>& aShards) const;

  ShardMap mMap;
  std::map<ShardId, ReportedDelay> mReportedDelays;
  std::map<ShardId, NodeId> mSchedulers; ///< At mMembersNumber.
  std::uint64_t mMembersNumber = 0;
  std::map<NodeId, Instant> mAvoidedUntil;
};

} // namespace heatherfork::detail
