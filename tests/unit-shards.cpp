#include "heatherfork/detail/scheduling/shard_chooser.h"
#include "scheduler_fixture.h"

#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::detail;

namespace {

Members
MakeMembers(int aCount)
{
  Members members;
  for (int n = 0; n < aCount; ++n) {
    const NodeName name{ "node-" + std::to_string(n) };
    members.push_back(Member{ NodeId{ name, 1 }, ZoneName{ "zone-a" } });
  }
  return members;
}

} // namespace

TEST_GROUP(Shards){};

TEST(Shards, AssignsEachServerToOneShardWithinSizeLimit)
{
  struct Row
  {
    int mServers;
    std::size_t mShards;
  };
  const std::vector<Row> rows{ { 1, 1 }, { 32, 1 }, { 33, 2 }, { 200, 7 } };
  for (const Row& row : rows) {
    const auto configuration = std::make_shared<const Configuration>(
      MakeConfiguration(row.mServers / 2, row.mServers - row.mServers / 2, 1));
    ShardMap map;
    map.Update(configuration, 32);
    CHECK_EQUAL(row.mShards, map.All().size());
    std::set<ServerName> seen;
    for (const Shard& shard : map.All()) {
      CHECK(shard.mServers.size() <= 32);
      for (const BackendServer* server : shard.mServers) {
        CHECK(seen.insert(server->mName).second);
      }
    }
    CHECK_EQUAL(static_cast<std::size_t>(row.mServers), seen.size());
  }
}

TEST(Shards, OnlyShardsOfDeadNodeMove)
{
  const auto configuration =
    std::make_shared<const Configuration>(MakeConfiguration(200, 200, 1));
  ShardMap map;
  map.Update(configuration, 32);
  const Members all = MakeMembers(8);
  for (std::size_t dead = 0; dead < all.size(); ++dead) {
    Members remaining = all;
    remaining[dead].mStatus = MemberStatus::kDead;
    for (const Shard& shard : map.All()) {
      const NodeId before = SchedulerOf(shard, all);
      const NodeId after = SchedulerOf(shard, remaining);
      CHECK(after != all[dead].mNode);
      CHECK(before == all[dead].mNode || before == after);
    }
  }
}

TEST(Shards, AvoidsShardThatReportsLongDelay)
{
  SchedulerFixture fixture(MakeConfiguration(20, 20, 1));
  fixture.mMembers = MakeMembers(3);
  ShardChooser chooser;
  Context context = fixture.MakeContext();
  Placed late;
  late.mShard = ShardId{ PoolName{ "pool" }, ZoneName{ "zone-a" }, 0 };
  late.mDelay = Milliseconds(500);
  std::vector<int> counts(2);
  for (std::uint64_t n = 0; n < 100; ++n) {
    chooser.On(context, late);
    PlaceRequest place = fixture.MakeRequest(n);
    CHECK(chooser.SchedulerFor(context, place).mIncarnation != 0);
    ++counts[static_cast<std::size_t>(place.mShard.mIndex)];
  }
  CHECK(counts[1] > 2 * counts[0]);
}

TEST(Shards, ReturnsNoSchedulerForUnknownModel)
{
  SchedulerFixture fixture(MakeConfiguration(1, 1, 1));
  fixture.mMembers = MakeMembers(3);
  ShardChooser chooser;
  Context context = fixture.MakeContext();
  PlaceRequest place = fixture.MakeRequest(1);
  place.mModel = ModelName{ "other" };
  CHECK_EQUAL(0u, chooser.SchedulerFor(context, place).mIncarnation);
}
