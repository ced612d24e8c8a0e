#include "heatherfork/detail/scheduling/predictive_scheduler.h"

namespace heatherfork::detail {

namespace {

constexpr Duration kPruneInterval = Milliseconds(1000);

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
    // A shard missing from the new configuration keeps its id but has no
    // servers: running placements complete and queued requests are refused.
    scheduler->Configure(aContext, shard != nullptr ? *shard : Shard{ id, {} });
    ApplyLimits(aContext, *scheduler);
  }
}

void
PredictiveScheduler::ApplyLimits(Context& aContext, ShardScheduler& aScheduler)
{
  for (const auto& [server, limit] : mLimits) {
    aScheduler.SetLimit(aContext, server, limit.mRate);
  }
}

// A request without a shard, or with a shard of another configuration, goes to
// the first shard that serves it.
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
PredictiveScheduler::GetOrCreate(Context& aContext, const Shard& aShard)
{
  auto& scheduler = mShards[aShard.mId];
  if (scheduler == nullptr) {
    scheduler = std::make_unique<ShardScheduler>();
    scheduler->Configure(aContext, aShard);
    for (const BackendServer* server : aShard.mServers) {
      const auto report = mReports.find(server->mName);
      if (report != mReports.end()) {
        scheduler->RecordReport(
          ReportReceived{ report->first, report->second });
      }
    }
    ApplyLimits(aContext, *scheduler);
  }
  return *scheduler;
}

ShardScheduler*
PredictiveScheduler::Find(const AttemptId& aAttempt) const
{
  const auto it = mSchedulerByAttempt.find(aAttempt);
  return it == mSchedulerByAttempt.end() ? nullptr : it->second;
}

// Shards also remove attempts of dead nodes and attempts past their deadline.
// Their index entries are pruned here.
void
PredictiveScheduler::PruneEnded(Instant aNow)
{
  if (aNow - mPrunedAt < kPruneInterval) {
    return;
  }
  mPrunedAt = aNow;
  std::erase_if(mSchedulerByAttempt, [](const auto& aItem) {
    return !aItem.second->HasAttempt(aItem.first);
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
  ShardScheduler& scheduler = GetOrCreate(aContext, *shard);
  scheduler.Place(aContext, aFrom, aPlace);
  if (scheduler.HasAttempt(aPlace.mAttempt)) {
    mSchedulerByAttempt[aPlace.mAttempt] = &scheduler;
  }
}

void
PredictiveScheduler::AdoptPlacements(Context& aContext,
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
    ShardScheduler& scheduler = GetOrCreate(aContext, *shard);
    scheduler.AdoptPlacement(aContext, aFrom, kept);
    if (scheduler.HasAttempt(attempt)) {
      mSchedulerByAttempt[attempt] = &scheduler;
    }
  }
  for (const auto& [id, scheduler] : mShards) {
    scheduler->ReleaseUnheld(aContext, aFrom, held);
  }
}

void
PredictiveScheduler::On(Context& aContext,
                        const NodeId&,
                        const PlacementProgress& aProgress)
{
  ShardScheduler* scheduler = Find(aProgress.mAttempt);
  if (scheduler != nullptr) {
    scheduler->RecordProgress(aContext, aProgress);
  }
}

void
PredictiveScheduler::On(Context& aContext,
                        const NodeId&,
                        const PlacementEnded& aEnded)
{
  ShardScheduler* scheduler = Find(aEnded.mAttempt);
  if (scheduler != nullptr) {
    mSchedulerByAttempt.erase(aEnded.mAttempt);
    scheduler->End(aContext, aEnded);
  }
}

void
PredictiveScheduler::On(Context&, const ReportReceived& aReport)
{
  mReports[aReport.mServer] = aReport.mReport;
  for (const auto& [id, scheduler] : mShards) {
    scheduler->RecordReport(aReport);
  }
}

void
PredictiveScheduler::On(Context& aContext, const TimerFired&)
{
  if (aContext.mConfiguration == nullptr) {
    return;
  }
  Update(aContext);
  PruneEnded(aContext.mNow);
  for (const auto& [id, scheduler] : mShards) {
    scheduler->Tick(aContext);
  }
}

void
PredictiveScheduler::On(Context& aContext,
                        const NodeId&,
                        const LimitReport& aReport)
{
  for (const ServerLimit& limit : aReport.mLimits) {
    const Instant heardAt = aContext.mNow - limit.mAge;
    const auto [it, isNew] = mLimits.try_emplace(limit.mServer);
    if (!isNew && heardAt < it->second.mHeardAt) {
      continue;
    }
    it->second.mHeardAt = heardAt;
    it->second.mRate =
      limit.mIsNamed ? std::optional(limit.mRate) : std::nullopt;
    for (const auto& [id, scheduler] : mShards) {
      scheduler->SetLimit(aContext, limit.mServer, it->second.mRate);
    }
  }
}

void
PredictiveScheduler::ForgetLimit(const ServerName& aServer)
{
  if (mLimits.erase(aServer) > 0) {
    for (const auto& [id, scheduler] : mShards) {
      scheduler->ForgetLimit(aServer);
    }
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
