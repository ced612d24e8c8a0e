#pragma once

#include <map>

#include "heatherfork/detail/scheduling/scheduler.h"

/// Baseline scheduler: fewest placements first.
namespace heatherfork::detail {

/// Selects the server with the fewest placements made by this node.
class LeastPlacedScheduler final : public Scheduler
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
  void OnNodeGone(Context& aContext, const NodeId& aNode) override;

private:
  struct HeldPlacement
  {
    NodeId mFrom;
    Placed mPlaced;
  };

  const BackendServer* Choose(const Pool& aPool,
                              Role aRole,
                              const PlaceRequest& aPlace) const;
  int Load(const ServerName& aServer) const;
  void Release(const AttemptId& aAttempt);

  std::map<AttemptId, HeldPlacement> mPlacements;
  std::map<ServerName, int> mLoad;
};

} // namespace heatherfork::detail
