#include "relay_alone.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

const std::vector<std::string> kPeers{ "m1", "m2", "m3", "m4" };

/// Engine replicas in two availability zones, a shard each when a shard has
/// room for two.
Replicas
ReplicasOfTwoZones()
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

// Load: nodes come and go at the crest, and a service has more replicas than
// one scheduler looks after.
TEST(RelayTakeover, WhatRunsStaysWithTheShardOfItsReplica)
{
  Alone node(100, 2);
  node.Step(ReplicasRead{ ReplicasOfTwoZones() });
  constexpr int kRunning = 6;
  for (int n = 0; n < kRunning; ++n) {
    node.Ask("/stream/x");
  }
  node.Join(kPeers);
  node.Step(TimerFired{});
  CHECK(SentToPeers<PlacementEnded>(node.mLast).empty());
  int told = 0;
  for (const auto& kept : SentToPeers<PlacementsKept>(node.mLast)) {
    for (const PlacementKept& one : kept.mKept) {
      ++told;
      STRCMP_EQUAL(one.mServer.mValue == "d1" ? "za" : "zb",
                   one.mPlace.mShard.mZone.mValue.c_str());
    }
  }
  CHECK(told > 0);
}

// Load: the scheduler of a shard changes at the crest, its queue full.
TEST(RelayTakeover, WhatWaitsFollowsTheScheduler)
{
  Alone node;
  constexpr int kAsked = 40; // Plain replicas have eight slots in all.
  for (int n = 0; n < kAsked; ++n) {
    node.Ask("/often/x");
    node.Ask("/stream/x");
  }
  node.Join(kPeers);
  node.Step(TimerFired{});
  CHECK(SentToPeers<PlacementEnded>(node.mLast).empty());
  std::set<AttemptId> moved;
  for (const auto& place : SentToPeers<PlaceRequest>(node.mLast)) {
    CHECK(moved.insert(place.mAttempt).second);
  }
  CHECK(!moved.empty());
}
