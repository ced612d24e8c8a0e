#pragma once

#include <map>
#include <optional>

#include "heatherfork/detail/context.h"
#include "heatherfork/detail/scheduling/shard_map.h"

/// Which shard, and so which scheduler, an entry node asks for a place.
namespace heatherfork::detail {

/// Chooses among the shards of a pool by what their schedulers last said.
class ShardChooser
{
public:
  /// Fills aPlace.mShard and returns the node to ask, which may be this one.
  /// The incarnation is 0 when no shard serves the request.
  NodeId SchedulerFor(Context& aContext, PlaceRequest& aPlace);

  /// The node that schedules a shard now; incarnation 0 when the shard is no
  /// more.
  NodeId SchedulerOf(Context& aContext, const ShardId& aShard);

  /// The node that schedules the server on which a request runs. Fills
  /// aPlace.mShard; incarnation 0 when no shard of the request has the server.
  NodeId SchedulerHolding(Context& aContext,
                          PlaceRequest& aPlace,
                          const ServerName& aServer);

  /// Learns from replies; call these for every reply of a scheduler.
  void On(Context& aContext, const Placed& aPlaced);
  void On(Context& aContext, const PlacementRefused& aRefused);

private:
  struct Told
  {
    Duration mDelay{};  ///< Predicted by the scheduler.
    Instant mAt{};      ///< When it said so.
    int mSentSince = 0; ///< Requests sent since.
  };

  void Update(const Context& aContext);
  Duration CostOf(const Context& aContext, const Shard& aShard) const;
  const Shard* Choose(Context& aContext,
                      const std::vector<const Shard*>& aShards) const;

  ShardMap mMap;
  std::map<ShardId, Told> mTold;
};

} // namespace heatherfork::detail
