#pragma once

#include <map>
#include <memory>
#include <set>

#include "heatherfork/detail/scheduling/scheduler.h"
#include "heatherfork/detail/scheduling/shard_scheduler.h"

/// The scheduler of a node, with one queue per shard that it schedules.
namespace heatherfork::detail {

/// Places each request where its first token is predicted earliest.
class PredictiveScheduler final : public Scheduler
{
public:
  void On(Context& aContext,
          const NodeId& aFrom,
          const PlaceRequest& aPlace) override;
  void On(Context& aContext,
          const NodeId& aFrom,
          const PlacementProgress& aProgress) override;
  void On(Context& aContext,
          const NodeId& aFrom,
          const PlacementEnded& aEnded) override;
  void On(Context& aContext, const ReportReceived& aReport) override;
  void On(Context& aContext, const TimerFired& aTimer) override;
  /// Adopts placements made by the previous scheduler, and releases those that
  /// the node no longer holds.
  void AdoptPlacements(Context& aContext,
                       const NodeId& aFrom,
                       const PlacementsKept& aKept);

  void OnNodeGone(Context& aContext, const NodeId& aNode) override;

private:
  void Update(Context& aContext);
  const Shard* ShardOf(const PlaceRequest& aPlace) const;
  ShardScheduler& GetOrCreate(Context& aContext, const Shard& aShard);
  ShardScheduler* Find(const AttemptId& aAttempt) const;
  void PruneEnded(Instant aNow);

  ConfigurationPtr mConfiguration;
  ShardMap mMap;
  std::map<ShardId, std::unique_ptr<ShardScheduler>> mShards;
  std::map<AttemptId, ShardScheduler*> mSchedulerByAttempt;
  Instant mPrunedAt{};
  std::map<ServerName, LoadReport> mReports;
};

} // namespace heatherfork::detail
