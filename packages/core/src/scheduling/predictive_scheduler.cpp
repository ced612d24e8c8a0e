#include "heatherfork/detail/scheduling/predictive_scheduler.h"

namespace heatherfork::detail {

namespace {

constexpr Duration kForgetInterval = Milliseconds(1000);

} // namespace

void
PredictiveScheduler::Update(Context& aContext)
{
  if (mConfiguration == aContext.mConfiguration) {
    return;
  }
  mConfiguration = aContext.mConfiguration;
  mMap.Update(mConfiguration,
              aContext.mSettings.mPolicy.mScheduling.mShardServers);
  for (auto& [id, scheduler] : mShards) {
    const Shard* shard = mMap.Find(id);
    // A shard that is no more keeps its id and gets no servers: it finishes
    // what it placed and refuses the rest.
    scheduler->Bind(aContext, shard != nullptr ? *shard : Shard{ id, {} });
  }
}

// A request that names no shard, or one of another configuration, gets the
// first that serves it.
const Shard*
PredictiveScheduler::ShardOf(const PlaceRequest& aPlace) const
{
  const auto& shards = mMap.ShardsFor(aPlace);
  for (const Shard* shard : shards) {
    if (shard->mId == aPlace.mShard) {
      return shard;
    }
  }
  return shards.empty() ? nullptr : shards.front();
}

ShardScheduler&
PredictiveScheduler::At(Context& aContext, const Shard& aShard)
{
  auto& scheduler = mShards[aShard.mId];
  if (scheduler == nullptr) {
    scheduler = std::make_unique<ShardScheduler>();
    scheduler->Bind(aContext, aShard);
    for (const BackendServer* server : aShard.mServers) {
      const auto report = mReports.find(server->mName);
      if (report != mReports.end()) {
        scheduler->Note(ReportReceived{ report->first, report->second });
      }
    }
  }
  return *scheduler;
}

ShardScheduler*
PredictiveScheduler::Find(const AttemptId& aAttempt) const
{
  const auto it = mShardOf.find(aAttempt);
  return it == mShardOf.end() ? nullptr : it->second;
}

// Shards drop attempts of nodes that are gone and of deadlines that passed.
void
PredictiveScheduler::ForgetEnded(Instant aNow)
{
  if (aNow - mForgotAt < kForgetInterval) {
    return;
  }
  mForgotAt = aNow;
  std::erase_if(mShardOf, [](const auto& aItem) {
    return !aItem.second->Knows(aItem.first);
  });
}

void
PredictiveScheduler::On(Context& aContext,
                        const NodeId& aFrom,
                        const PlaceRequest& aPlace)
{
  Update(aContext);
  const Shard* shard =
    aContext.mConfiguration == nullptr ? nullptr : ShardOf(aPlace);
  if (shard == nullptr) {
    aContext.Send(
      aFrom,
      PlacementRefused{ aPlace.mAttempt,
                        Error{ ErrorCode::kNoBackendServer,
                               "expected a pool that serves this request, "
                               "found none" } });
    return;
  }
  ShardScheduler& scheduler = At(aContext, *shard);
  scheduler.Place(aContext, aFrom, aPlace);
  if (scheduler.Knows(aPlace.mAttempt)) {
    mShardOf[aPlace.mAttempt] = &scheduler;
  }
}

void
PredictiveScheduler::Keep(Context& aContext,
                          const NodeId& aFrom,
                          const PlacementsKept& aKept)
{
  if (aContext.mConfiguration == nullptr) {
    return;
  }
  Update(aContext);
  std::set<AttemptId> held;
  for (const PlacementKept& kept : aKept.mKept) {
    const AttemptId& attempt = kept.mPlace.mAttempt;
    held.insert(attempt);
    const Shard* shard = ShardOf(kept.mPlace);
    if (shard == nullptr || Find(attempt) != nullptr) {
      continue;
    }
    ShardScheduler& scheduler = At(aContext, *shard);
    scheduler.Keep(aContext, aFrom, kept);
    if (scheduler.Knows(attempt)) {
      mShardOf[attempt] = &scheduler;
    }
  }
  for (const auto& [id, scheduler] : mShards) {
    scheduler->DropUnheld(aContext, aFrom, held);
  }
}

void
PredictiveScheduler::On(Context& aContext,
                        const NodeId&,
                        const PlacementProgress& aProgress)
{
  ShardScheduler* scheduler = Find(aProgress.mAttempt);
  if (scheduler != nullptr) {
    scheduler->Note(aContext, aProgress);
  }
}

void
PredictiveScheduler::On(Context& aContext,
                        const NodeId&,
                        const PlacementEnded& aEnded)
{
  ShardScheduler* scheduler = Find(aEnded.mAttempt);
  if (scheduler != nullptr) {
    mShardOf.erase(aEnded.mAttempt);
    scheduler->End(aContext, aEnded);
  }
}

void
PredictiveScheduler::On(Context&, const ReportReceived& aReport)
{
  mReports[aReport.mServer] = aReport.mReport;
  for (const auto& [id, scheduler] : mShards) {
    scheduler->Note(aReport);
  }
}

void
PredictiveScheduler::On(Context& aContext, const TimerFired&)
{
  if (aContext.mConfiguration == nullptr) {
    return;
  }
  Update(aContext);
  ForgetEnded(aContext.mNow);
  for (const auto& [id, scheduler] : mShards) {
    scheduler->Tick(aContext);
  }
}

void
PredictiveScheduler::OnNodeGone(Context& aContext, const NodeId& aNode)
{
  for (const auto& [id, scheduler] : mShards) {
    scheduler->OnNodeGone(aContext, aNode);
  }
}

} // namespace heatherfork::detail
