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

/// The number of LeavingReports among the latest effects.
int
CountReports(const SingleRelayNode& aNode)
{
  int count = 0;
  for (const RelayEffect& effect : aNode.mLastEffects) {
    const auto* sent = std::get_if<SendToPeer>(&effect);
    count += sent && std::holds_alternative<LeavingReport>(sent->mMessage);
  }
  return count;
}

} // namespace

TEST_GROUP(LeavingReplicas){};

// Guards against a store that is restored to a state before the mark.
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
    { 5, false, 5, true }, { 5, true, 5, true },  { 5, false, 6, false },
    { 5, true, 6, false }, { 0, true, 0, false }, // Not told apart from its
                                                  // next start.
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
    registry.OnStoreRestored(kStart + Milliseconds(6000));
    registry.OnPublished(kStart + Milliseconds(6000),
                         { MakeStartedReplica(row.mNextStartedAt, false) });
    CHECK_EQUAL(row.mIsLeaving, registry.Effective()[0].mLeaving);
  }
}

// Guards against leaving replicas whose entries are still ready.
TEST(LeavingReplicas, AnswerThatSaysSoCountsAtAllNodes)
{
  for (const std::int64_t startedAt : { 0, 5 }) {
    SingleRelayNode node;
    Replicas replicas = SampleReplicas();
    for (Replica& replica : replicas) {
      replica.mStartedAt = startedAt;
    }
    node.Step(ReplicasRead{ replicas });
    node.SendRequest("/once/x");
    const StartCall call = *node.LatestCall();
    node.AddNodes({ "c", "d" });
    node.Step(RelayLeavingSeen{ call.mCall });
    CHECK_EQUAL(2, CountReports(node));
    node.Step(RelayLeavingSeen{ call.mCall });
    CHECK_EQUAL(0, CountReports(node));
    // Repeated to random nodes until the entry is marked, too.
    node.Step(TimerFired{}, Milliseconds(600));
    CHECK(CountReports(node) > 0);
    for (Replica& replica : replicas) {
      replica.mLeaving = replica.mLeaving || replica.mName == call.mServer;
    }
    node.Step(ReplicasRead{ replicas });
    node.Step(TimerFired{}, Milliseconds(600));
    CHECK_EQUAL(0, CountReports(node));
  }
}

TEST(LeavingReplicas, ReportOfAnotherNodeCounts)
{
  struct Row
  {
    std::int64_t mReportedStart;
    bool mIsRefused;
  };
  // The replica's entry names 5.
  const Row kRows[] = { { 5, true }, { 4, false }, { 6, false } };
  for (const Row& row : kRows) {
    for (const bool isKnownBefore : { false, true }) {
      SingleRelayNode node;
      node.Step(ReplicasRead{ {} });
      const LeavingReport report{ { { ServerName{ "s1" },
                                      row.mReportedStart } } };
      const ReplicasRead read{ { MakeStartedReplica(5, false) } };
      if (isKnownBefore) {
        node.Step(PeerReceived{ { NodeName{ "c" }, 2 }, report });
        node.Step(read);
      } else {
        node.Step(read);
        node.Step(PeerReceived{ { NodeName{ "c" }, 2 }, report });
      }
      node.SendRequest("/once/x");
      CHECK_EQUAL(row.mIsRefused, node.Find<RefuseCaller>() != nullptr);
      CHECK_EQUAL(row.mIsRefused, node.Find<StartCall>() == nullptr);
    }
  }
}
