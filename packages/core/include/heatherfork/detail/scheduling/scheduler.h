#pragma once

#include "heatherfork/detail/context.h"

/// Interface for the selection of backend servers.
namespace heatherfork::detail {

/// Places attempts on the servers of the shards that this node schedules. Two
/// nodes may schedule the same shard for a while; the admission control of the
/// engines then still bounds the load.
class Scheduler
{
public:
  Scheduler() = default;
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;
  virtual ~Scheduler() = default;

  /// Replies with Placed or PlacementRefused, or with PlacementQueued followed
  /// by one of the two.
  virtual void On(Context& aContext,
                  const NodeId& aFrom,
                  const PlaceRequest& aPlace) = 0;
  virtual void On(Context& aContext,
                  const NodeId& aFrom,
                  const PlacementProgress& aProgress) = 0;
  virtual void On(Context& aContext,
                  const NodeId& aFrom,
                  const PlacementEnded& aEnded) = 0;
  virtual void On(Context& aContext, const ReportReceived& aReport) = 0;
  virtual void On(Context& aContext, const TimerFired& aTimer) = 0;

  /// Releases all placements of a dead node.
  virtual void OnNodeGone(Context& aContext, const NodeId& aNode) = 0;
};

} // namespace heatherfork::detail
