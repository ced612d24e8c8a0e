#include "heatherfork/detail/relay/replica_registry.h"
#include "single_relay_node.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using detail::ReplicaRegistry;

namespace {

Replica
MakeStartedReplica(std::int64_t aStartedAt, bool aLeaving)
{
  Replica replica = MakeReplica("s1", "desk", Role::kPlain);
  replica.mStartedAt = aStartedAt;
  replica.mLeaving = aLeaving;
  return replica;
}

} // namespace

TEST_GROUP(LeavingReplicas){};

// Guards against a store that goes back to a state before the mark.
TEST(LeavingReplicas, StartThatHasLeftIsNotUsedAgain)
{
  struct Row
  {
    std::int64_t mStartedAt;
    bool mIsGoneBetween;
    std::int64_t mNextStartedAt;
    bool mIsLeaving;
  };
  const Row kRows[] = {
    { 5, false, 5, true },
    { 5, true, 5, true },
    { 5, false, 6, false },
    { 5, true, 6, false },
    { 0, true, 0, false }, // Not told apart from its next start.
  };
  for (const Row& row : kRows) {
    ReplicaRegistry registry;
    registry.OnStoreReachability(kStart, true);
    registry.OnPublished(kStart, { MakeStartedReplica(row.mStartedAt, false) });
    CHECK_FALSE(registry.Effective()[0].mLeaving);
    registry.OnPublished(kStart, { MakeStartedReplica(row.mStartedAt, true) });
    CHECK(registry.Effective()[0].mLeaving);
    if (row.mIsGoneBetween) {
      registry.OnPublished(kStart + Milliseconds(5000), {});
    }
    registry.OnStoreWentBack(kStart + Milliseconds(6000));
    registry.OnPublished(kStart + Milliseconds(6000),
                         { MakeStartedReplica(row.mNextStartedAt, false) });
    CHECK_EQUAL(row.mIsLeaving, registry.Effective()[0].mLeaving);
  }
}
