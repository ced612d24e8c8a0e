#include "single_relay_node.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

const std::vector<std::string> kPeers{ "m1", "m2", "m3", "m4" };

/// Engine replicas in two availability zones. With a shard size of two, each
/// zone is a shard.
Replicas
ReplicasInTwoZones()
{
  Replicas replicas = SampleReplicas();
  for (Replica& replica : replicas) {
    replica.mZone.mValue = replica.mName.mValue.back() == '1' ? "za" : "zb";
  }
  return replicas;
}

template<class T>
std::vector<T>
SentToPeers(const RelayEffects& aEffects)
{
  std::vector<T> found;
  for (const RelayEffect& effect : aEffects) {
    const auto* sent = std::get_if<SendToPeer>(&effect);
    if (sent != nullptr && std::holds_alternative<T>(sent->mMessage)) {
      found.push_back(std::get<T>(sent->mMessage));
    }
  }
  return found;
}

} // namespace

TEST_GROUP(RelayTakeover){};

// Nodes join and leave under peak load, and a service has more replicas than
// one shard. Running placements are reported to the scheduler of the shard that
// contains their replica.
TEST(RelayTakeover, ReportsPlacementsToShardOfTheirReplica)
{
  SingleRelayNode node(100, 2);
  node.Step(ReplicasRead{ ReplicasInTwoZones() });
  constexpr int kRunningRequests = 6;
  for (int n = 0; n < kRunningRequests; ++n) {
    node.SendRequest("/stream/x");
  }
  node.AddNodes(kPeers);
  node.Step(TimerFired{});
  CHECK(SentToPeers<PlacementEnded>(node.mLastEffects).empty());
  int reported = 0;
  for (const auto& kept : SentToPeers<PlacementsKept>(node.mLastEffects)) {
    for (const PlacementKept& placement : kept.mKept) {
      ++reported;
      STRCMP_EQUAL(placement.mServer.mValue == "d1" ? "za" : "zb",
                   placement.mPlace.mShard.mZone.mValue.c_str());
    }
  }
  CHECK(reported > 0);
}

// The scheduler of a shard changes under peak load while its queue is full.
TEST(RelayTakeover, ResubmitsQueuedRequestsToNewScheduler)
{
  SingleRelayNode node;
  constexpr int kRequests = 40; // Plain replicas have 8 slots in total.
  for (int n = 0; n < kRequests; ++n) {
    node.SendRequest("/often/x");
    node.SendRequest("/stream/x");
  }
  node.AddNodes(kPeers);
  node.Step(TimerFired{});
  CHECK(SentToPeers<PlacementEnded>(node.mLastEffects).empty());
  std::set<AttemptId> resubmitted;
  for (const auto& place : SentToPeers<PlaceRequest>(node.mLastEffects)) {
    CHECK(resubmitted.insert(place.mAttempt).second);
  }
  CHECK(!resubmitted.empty());
}
