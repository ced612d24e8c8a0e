#pragma once

#include <map>
#include <string>
#include <vector>

#include "heatherfork/configuration.h"
#include "heatherfork/member.h"
#include "heatherfork/peer_message.h"

/// Partition of the configured pools into shards, and their schedulers.
namespace heatherfork::detail {

/// One shard. Refers to the configuration that it was built from.
struct Shard
{
  ShardId mId;
  std::string mKey; ///< Key for rendezvous hashing.
  const Pool* mPool = nullptr;
  std::vector<const BackendServer*> mServers;
};

/// The shards of one configuration.
class ShardMap
{
public:
  /// Rebuilds the map when the configuration has changed. A pool of at most
  /// aMaxServers is one shard; a larger one is split by availability zone and
  /// then evenly.
  void Update(const ConfigurationPtr& aConfiguration, int aMaxServers);

  const std::vector<Shard>& All() const { return mShards; }

  /// Returns the shards that serve the model or service of a request.
  const std::vector<const Shard*>& ShardsFor(const PlaceRequest& aPlace) const;

  /// Returns null for an unknown shard.
  const Shard* Find(const ShardId& aId) const;

private:
  void Index();
  void AddPool(const Pool& aPool, std::size_t aMaxServers);
  void AddZone(const Pool& aPool,
               const ZoneName& aZone,
               const std::vector<const BackendServer*>& aServers,
               std::size_t aMaxServers);

  ConfigurationPtr mConfiguration;
  std::vector<Shard> mShards;
  std::map<ModelName, std::vector<const Shard*>> mByModel;
  std::map<ServiceName, std::vector<const Shard*>> mByService;
};

/// Returns the duty member that schedules a shard, selected by rendezvous
/// hashing. Nodes in the availability zone of the shard take precedence. The
/// incarnation is 0 when no node is alive.
NodeId
SchedulerOf(const Shard& aShard, const Members& aMembers);

} // namespace heatherfork::detail
