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

  /// Applies the limits that a node has received; the latest one holds.
  void On(Context& aContext, const NodeId& aFrom, const LimitReport& aReport);

  /// Drops the limit of a server that is gone or has started again.
  void ForgetLimit(const ServerName& aServer);

private:
  void Update(Context& aContext);
  void ApplyLimits(Context& aContext, ShardScheduler& aScheduler);
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

  struct HeardLimit
  {
    std::optional<RequestRate> mRate;
    Instant mHeardAt{};
  };
  std::map<ServerName, HeardLimit> mLimits;
};

} // namespace heatherfork::detail
