#include "heatherfork/detail/scheduling/shard_map.h"

#include <algorithm>

#include "heatherfork/detail/scheduling/rendezvous.h"
#include "heatherfork/duty_members.h"

namespace heatherfork::detail {

namespace {

using Servers = std::vector<const BackendServer*>;

std::string
KeyOf(const ShardId& aId)
{
  return aId.mPool.mValue + '\n' + aId.mZone.mValue + '\n' +
         std::to_string(aId.mIndex);
}

Shard
MakeShard(const Pool& aPool, ShardId aId)
{
  std::string key = KeyOf(aId);
  return Shard{ std::move(aId), std::move(key), &aPool, {} };
}

template<class Key>
const std::vector<const Shard*>&
FindShards(const std::map<Key, std::vector<const Shard*>>& aIndex,
           const Key& aKey)
{
  static const std::vector<const Shard*> kNoShards;
  const auto it = aIndex.find(aKey);
  return it == aIndex.end() ? kNoShards : it->second;
}

// Orders servers by role and then by hash. Assigning them round-robin then
// spreads every role evenly over the shards, whatever the server names.
Servers
OrderedByHash(const Servers& aServers)
{
  Servers sorted = aServers;
  std::sort(
    sorted.begin(), sorted.end(), [](const auto* aOne, const auto* aTwo) {
      if (aOne->mRole != aTwo->mRole) {
        return aOne->mRole < aTwo->mRole;
      }
      const auto one = RendezvousWeight("deal", aOne->mName.mValue);
      const auto two = RendezvousWeight("deal", aTwo->mName.mValue);
      return one != two ? one < two : aOne->mName < aTwo->mName;
    });
  return sorted;
}

const Member*
HigherWeight(const Shard& aShard, const Member* aBest, const Member& aOther)
{
  if (aBest == nullptr) {
    return &aOther;
  }
  const auto best = RendezvousWeight(aShard.mKey, aBest->mNode.mName.mValue);
  const auto other = RendezvousWeight(aShard.mKey, aOther.mNode.mName.mValue);
  return other > best ? &aOther : aBest;
}

} // namespace

void
ShardMap::Update(const ConfigurationPtr& aConfiguration, int aMaxServers)
{
  if (mConfiguration == aConfiguration) {
    return;
  }
  mConfiguration = aConfiguration;
  mShards.clear();
  if (mConfiguration != nullptr) {
    for (const Pool& pool : mConfiguration->mPools) {
      AddPool(pool, static_cast<std::size_t>(std::max(1, aMaxServers)));
    }
  }
  Index();
}

void
ShardMap::AddPool(const Pool& aPool, std::size_t aMaxServers)
{
  std::map<ZoneName, Servers> zones;
  const bool isOneShard = aPool.mServers.size() <= aMaxServers;
  for (const BackendServer& server : aPool.mServers) {
    zones[isOneShard ? ZoneName{} : server.mZone].push_back(&server);
  }
  for (const auto& [zone, servers] : zones) {
    AddZone(aPool, zone, servers, aMaxServers);
  }
}

void
ShardMap::AddZone(const Pool& aPool,
                  const ZoneName& aZone,
                  const Servers& aServers,
                  std::size_t aMaxServers)
{
  const std::size_t count = (aServers.size() + aMaxServers - 1) / aMaxServers;
  const std::size_t first = mShards.size();
  for (std::size_t n = 0; n < count; ++n) {
    mShards.push_back(
      MakeShard(aPool, { aPool.mName, aZone, static_cast<int>(n) }));
  }
  std::size_t next = 0;
  for (const BackendServer* server : OrderedByHash(aServers)) {
    mShards[first + next].mServers.push_back(server);
    next = (next + 1) % count;
  }
}

void
ShardMap::Index()
{
  mByModel.clear();
  mByService.clear();
  for (const Shard& shard : mShards) {
    if (shard.mPool->mModel.Empty()) {
      mByService[shard.mPool->mService].push_back(&shard);
    } else {
      mByModel[shard.mPool->mModel].push_back(&shard);
    }
  }
}

const std::vector<const Shard*>&
ShardMap::ShardsFor(const PlaceRequest& aPlace) const
{
  return aPlace.mKind == RequestKind::kCompletion
           ? FindShards(mByModel, aPlace.mModel)
           : FindShards(mByService, aPlace.mService);
}

const Shard*
ShardMap::Find(const ShardId& aId) const
{
  const auto it =
    std::find_if(mShards.begin(), mShards.end(), [&](const Shard& aShard) {
      return aShard.mId == aId;
    });
  return it == mShards.end() ? nullptr : &*it;
}

NodeId
SchedulerOf(const Shard& aShard, const Members& aMembers)
{
  const Member* local = nullptr;
  const Member* any = nullptr;
  for (const Member* member : DutyMembers(aMembers)) {
    any = HigherWeight(aShard, any, *member);
    if (member->mZone == aShard.mId.mZone) {
      local = HigherWeight(aShard, local, *member);
    }
  }
  const Member* chosen = local != nullptr ? local : any;
  return chosen == nullptr ? NodeId{} : chosen->mNode;
}

} // namespace heatherfork::detail
