#include "single_relay_node.h"

#include <optional>
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

std::optional<NodeId>
ReceiverOfPlaceRequest(const RelayEffects& aEffects)
{
  for (const RelayEffect& effect : aEffects) {
    const auto* sent = std::get_if<SendToPeer>(&effect);
    if (sent != nullptr &&
        std::holds_alternative<PlaceRequest>(sent->mMessage)) {
      return sent->mPeer;
    }
  }
  return std::nullopt;
}

} // namespace

TEST_GROUP(RelayTakeover){};

// Many nodes are killed at the crest. Nodes that place by themselves then fill
// the same memory several times over; those that pass over the same scheduler
// agree on the next one.
TEST(RelayTakeover, NodesAgreeOnTheSchedulerAfterAnUnreachableOne)
{
  std::set<NodeId> schedulers;
  for (const char* path : { "/stream/a", "/stream/b", "/stream/c" }) {
    SingleRelayNode node;
    // Neither the first nor the second scheduler is the node itself.
    node.AddNodes({ "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9" });
    node.SendRequest(path);
    std::optional<NodeId> first = ReceiverOfPlaceRequest(node.mLastEffects);
    CHECK(first.has_value());
    node.Step(PeerLost{ *first }); // It may have been a stale connection.
    CHECK(ReceiverOfPlaceRequest(node.mLastEffects) == first);
    node.Step(PeerLost{ *first });
    const auto second = ReceiverOfPlaceRequest(node.mLastEffects);
    CHECK(second.has_value() && *second != *first);
    schedulers.insert(*second);
    // Later requests go there at once.
    node.SendRequest(path);
    CHECK(ReceiverOfPlaceRequest(node.mLastEffects) == second);
    // The first one is used again some seconds later if it is still a member.
    node.Step(TimerFired{}, Milliseconds(3500));
    node.SendRequest(path);
    CHECK(ReceiverOfPlaceRequest(node.mLastEffects) == first);
  }
  CHECK_EQUAL(1U, schedulers.size());
}

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
