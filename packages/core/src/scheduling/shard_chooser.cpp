#include "heatherfork/detail/scheduling/shard_chooser.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

bool
IsLocal(const Context& aContext, const Shard& aShard)
{
  const ZoneName& zone = aShard.mId.mZone;
  return zone.Empty() || zone == aContext.mSettings.mZone;
}

const Shard*
RandomOf(Context& aContext, const std::vector<const Shard*>& aShards)
{
  return aShards[aContext.mRandom() % aShards.size()];
}

} // namespace

void
ShardChooser::Update(const Context& aContext)
{
  const SchedulingSettings& policy = aContext.mSettings.mPolicy.mScheduling;
  mMap.Update(aContext.mConfiguration, policy.mShardServers);
}

NodeId
ShardChooser::SchedulerFor(Context& aContext, PlaceRequest& aPlace)
{
  Update(aContext);
  const auto& shards = mMap.ShardsFor(aPlace);
  if (shards.empty()) {
    return NodeId{};
  }
  // Equal suspects meet at one scheduler, which runs them one at a time.
  const Shard* shard = aPlace.mIsSuspect
                         ? shards[aPlace.mContentFingerprint % shards.size()]
                         : Choose(aContext, shards);
  aPlace.mShard = shard->mId;
  ++mReportedDelays[shard->mId].mSentSinceReport;
  return SchedulerOf(aContext, *shard);
}

NodeId
ShardChooser::SchedulerOf(Context& aContext, const ShardId& aShard)
{
  Update(aContext);
  const Shard* shard = mMap.Find(aShard);
  return shard == nullptr ? NodeId{} : SchedulerOf(aContext, *shard);
}

void
ShardChooser::Avoid(const NodeId& aNode, Instant aUntil)
{
  mAvoidedUntil[aNode] = aUntil;
  mSchedulers.clear();
}

Members
ShardChooser::ReachableMembers(const Context& aContext)
{
  Members members = aContext.mMembers;
  std::erase_if(members, [&](const Member& aMember) {
    return mAvoidedUntil.contains(aMember.mNode);
  });
  return members;
}

// The choice hashes the name of every member, so it is kept until they change.
NodeId
ShardChooser::SchedulerOf(const Context& aContext, const Shard& aShard)
{
  const std::size_t expired =
    std::erase_if(mAvoidedUntil, [&](const auto& aItem) {
      return aItem.second <= aContext.mNow;
    });
  const bool isTracked = aContext.mMembersNumber != 0;
  if (!isTracked || expired > 0 || mMembersNumber != aContext.mMembersNumber) {
    mMembersNumber = aContext.mMembersNumber;
    mSchedulers.clear();
  }
  const auto [it, isNew] = mSchedulers.try_emplace(aShard.mId);
  if (isNew) {
    it->second = mAvoidedUntil.empty()
                   ? detail::SchedulerOf(aShard, aContext.mMembers)
                   : detail::SchedulerOf(aShard, ReachableMembers(aContext));
  }
  return it->second;
}

NodeId
ShardChooser::SchedulerForServer(Context& aContext,
                                 PlaceRequest& aPlace,
                                 const ServerName& aServer)
{
  Update(aContext);
  for (const Shard* shard : mMap.ShardsFor(aPlace)) {
    const auto& servers = shard->mServers;
    if (std::any_of(servers.begin(), servers.end(), [&](const auto* aOne) {
          return aOne->mName == aServer;
        })) {
      aPlace.mShard = shard->mId;
      return SchedulerOf(aContext, *shard);
    }
  }
  return NodeId{};
}

void
ShardChooser::On(Context& aContext, const Placed& aPlaced)
{
  mReportedDelays[aPlaced.mShard] =
    ReportedDelay{ aPlaced.mDelay, aContext.mNow, 0 };
}

void
ShardChooser::On(Context& aContext, const PlacementRefused& aRefused)
{
  mReportedDelays[aRefused.mShard] =
    ReportedDelay{ aRefused.mDelay, aContext.mNow, 0 };
}

// Reported delays decay, so that a shard that was full is tried again.
Duration
ShardChooser::CostOf(const Context& aContext, const Shard& aShard) const
{
  const SchedulingSettings& policy = aContext.mSettings.mPolicy.mScheduling;
  Duration cost =
    IsLocal(aContext, aShard) ? Duration{} : policy.mOtherZoneCost;
  const auto it = mReportedDelays.find(aShard.mId);
  if (it == mReportedDelays.end()) {
    return cost;
  }
  const ReportedDelay& reported = it->second;
  cost += reported.mSentSinceReport * policy.mSentRequestCost;
  const Duration age = aContext.mNow - reported.mReportedAt;
  if (age < policy.mReportedDelayLifetime) {
    const auto left = policy.mReportedDelayLifetime - age;
    cost +=
      reported.mDelay * left.count() / policy.mReportedDelayLifetime.count();
  }
  return cost;
}

// Compares two random shards and, if available, one in the local availability
// zone. A choice among all shards would send all nodes to the same one.
const Shard*
ShardChooser::Choose(Context& aContext,
                     const std::vector<const Shard*>& aShards) const
{
  std::vector<const Shard*> local;
  for (const Shard* shard : aShards) {
    if (IsLocal(aContext, *shard)) {
      local.push_back(shard);
    }
  }
  std::vector<const Shard*> candidates{ RandomOf(aContext, aShards),
                                        RandomOf(aContext, aShards) };
  if (!local.empty()) {
    candidates.push_back(RandomOf(aContext, local));
  }
  return *std::min_element(candidates.begin(),
                           candidates.end(),
                           [&](const Shard* aOne, const Shard* aTwo) {
                             return CostOf(aContext, *aOne) <
                                    CostOf(aContext, *aTwo);
                           });
}

} // namespace heatherfork::detail
