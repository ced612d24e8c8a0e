#pragma once

#include <map>
#include <random>

#include "heatherfork/detail/scheduling/scheduler.h"

/// Common load-balancing policies, as baselines.
namespace heatherfork::bench {

enum class BaselineKind : std::uint8_t
{
  kRandom,
  kRoundRobin,
  kLeastReported,
  kTwoChoices, ///< The less loaded of two random servers, by load reports.
};

/// Places each request immediately and keeps no queue. Engines refuse requests
/// beyond their capacity.
class BaselineScheduler final : public detail::Scheduler
{
public:
  BaselineScheduler(BaselineKind aKind, std::uint64_t aSeed);

  void On(detail::Context& aContext,
          const NodeId& aFrom,
          const PlaceRequest& aPlace) override;
  void On(detail::Context&, const NodeId&, const PlacementProgress&) override {}
  void On(detail::Context&, const NodeId&, const PlacementEnded&) override {}
  void On(detail::Context& aContext, const ReportReceived& aReport) override;
  void On(detail::Context&, const TimerFired&) override {}
  void OnNodeGone(detail::Context&, const NodeId&) override {}

private:
  using Servers = std::vector<const BackendServer*>;

  const BackendServer* Choose(const Pool& aPool,
                              Role aRole,
                              const PlaceRequest& aPlace);
  const BackendServer* Next(const Servers& aServers, Role aRole);
  int Load(const BackendServer& aServer) const;

  BaselineKind mKind;
  std::mt19937_64 mRandom;
  std::map<Role, std::uint64_t> mNextIndex;
  std::map<ServerName, LoadReport> mReports;
};

} // namespace heatherfork::bench
