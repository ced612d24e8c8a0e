#pragma once

#include <map>
#include <memory>
#include <set>

#include "heatherfork/detail/scheduling/scheduler.h"
#include "heatherfork/detail/scheduling/shard_scheduler.h"

/// The scheduler of a node: one queue for each shard that it schedules.
namespace heatherfork::detail {

/// Places by the predicted time of the first token.
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
  /// Takes over placements that another scheduler made, and frees those that
  /// the node no longer holds.
  void Keep(Context& aContext,
            const NodeId& aFrom,
            const PlacementsKept& aKept);

  void OnNodeGone(Context& aContext, const NodeId& aNode) override;

private:
  void Update(Context& aContext);
  const Shard* ShardOf(const PlaceRequest& aPlace) const;
  ShardScheduler& At(Context& aContext, const Shard& aShard);
  ShardScheduler* Find(const AttemptId& aAttempt) const;
  void ForgetEnded(Instant aNow);

  ConfigurationPtr mConfiguration;
  ShardMap mMap;
  std::map<ShardId, std::unique_ptr<ShardScheduler>> mShards;
  std::map<AttemptId, ShardScheduler*> mShardOf;
  Instant mForgotAt{};
  std::map<ServerName, LoadReport> mReports;
};

} // namespace heatherfork::detail
