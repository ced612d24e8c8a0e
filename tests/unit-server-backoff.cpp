#include "heatherfork/detail/relay/server_backoffs.h"
#include "single_relay_node.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

constexpr Duration kBackoff = Milliseconds(6000);

/// The latest call is rejected, and its replica asks for a backoff.
void
RejectLatestCall(SingleRelayNode& aNode, const std::optional<Duration>& aTime)
{
  const StartCall call = *aNode.LatestCall();
  aNode.Step(RelayBackoffSeen{ call.mCall, aTime });
  RelayCallEnded ended;
  ended.mCall = call.mCall;
  ended.mResult = RelayResult::kNotRun;
  ended.mStatus = 503;
  aNode.Step(ended);
}

int
CountEntries(const SingleRelayNode& aNode, const std::string& aEvent)
{
  int count = 0;
  for (const RelayEffect& effect : aNode.mLastEffects) {
    const auto* entry = std::get_if<RelayLogEntry>(&effect);
    count += entry != nullptr && entry->mEvent == aEvent;
  }
  return count;
}

} // namespace

TEST_GROUP(ServerBackoff){};

TEST(ServerBackoff, RequestGoesToAnotherReplicaAndNewOnesToo)
{
  SingleRelayNode node;
  node.SendRequest("/once/x");
  const ServerName inNeed = node.LatestCall()->mServer;
  RejectLatestCall(node, kBackoff);
  CHECK(node.Find<StartCall>() != nullptr);
  CHECK(node.LatestCall()->mServer != inNeed);
  node.EndLatestCall(RelayResult::kDone, 200);
  for (int n = 0; n < 5; ++n) {
    node.SendRequest("/once/x");
    CHECK(node.LatestCall()->mServer != inNeed);
  }
}

// Guards against refusals after seconds and without a time to retry, and
// against replicas that stay unused after their backoff.
TEST(ServerBackoff, AllReplicasInNeedRefuseUntilTheFirstIsBack)
{
  SingleRelayNode node;
  std::set<ServerName> inNeed;
  node.SendRequest("/once/x");
  inNeed.insert(node.LatestCall()->mServer);
  RejectLatestCall(node, kBackoff);
  inNeed.insert(node.LatestCall()->mServer);
  RejectLatestCall(node, 2 * kBackoff);
  CHECK_EQUAL(2U, inNeed.size());
  for (int n = 0; n < 3; ++n) {
    const auto* refused = node.Find<RefuseCaller>();
    CHECK(refused != nullptr);
    CHECK(refused->mError.mCode == ErrorCode::kServerBackoff);
    CHECK(refused->mRetryAfter > kBackoff - Milliseconds(100));
    CHECK(refused->mRetryAfter < kBackoff + Milliseconds(600));
    node.SendRequest("/often/x");
    CHECK(node.Find<StartCall>() == nullptr);
  }
  node.Step(TimerFired{}, kBackoff);
  for (int n = 0; n < 3; ++n) {
    node.SendRequest("/once/x");
    CHECK(node.Find<StartCall>() != nullptr);
  }
}

// Guards against requests that wait through the backoff of all replicas.
TEST(ServerBackoff, WaitingRequestsAreRefusedToo)
{
  SingleRelayNode node;
  node.Step(ReplicasRead{ { MakeReplica("s1", "desk", Role::kPlain) } });
  for (int n = 0; n < 4; ++n) {
    node.SendRequest("/once/x");
    node.LatestCall();
  }
  node.SendRequest("/once/x");
  CHECK(node.Find<StartCall>() == nullptr);
  CHECK(node.Find<RefuseCaller>() == nullptr);
  node.Step(RelayBackoffSeen{ node.LatestCall()->mCall, kBackoff });
  const auto* refused = node.Find<RefuseCaller>();
  CHECK(refused != nullptr);
  CHECK_EQUAL(5U, refused->mCaller);
  CHECK(refused->mError.mCode == ErrorCode::kServerBackoff);
}

// Guards against decode calls whose prefill was running when the backoff began.
TEST(ServerBackoff, DecodeStageIsNotSentAfterTheTimeWasNamed)
{
  SingleRelayNode node;
  node.SendRequest("/stream/x");
  node.EndLatestCall(RelayResult::kDone, 200);
  const StartCall decode = *node.LatestCall();
  CHECK(decode.mStage == RelayStage::kDecode);
  std::vector<StartCall> prefills;
  while (true) {
    node.SendRequest("/stream/x");
    CHECK(node.Find<StartCall>() != nullptr);
    prefills.push_back(*node.LatestCall());
    if (prefills.size() == 2) {
      break;
    }
  }
  node.Step(RelayBackoffSeen{ decode.mCall, kBackoff });
  for (const StartCall& prefill : prefills) {
    RelayCallEnded ended;
    ended.mCall = prefill.mCall;
    ended.mResult = RelayResult::kDone;
    ended.mStatus = 200;
    ended.mCacheId = "kv";
    for (const RelayEffect& effect : node.Step(ended)) {
      const auto* call = std::get_if<StartCall>(&effect);
      CHECK(call == nullptr || call->mServer != decode.mServer);
    }
  }
}

TEST(ServerBackoff, TimesThatAreNoneAreLoggedOnceForAStart)
{
  struct Row
  {
    std::optional<Duration> mTime;
    int mLines;
  };
  const Row kRows[] = { { std::nullopt, 1 },
                        { Milliseconds(7200000), 1 },
                        { Duration{}, 0 } };
  for (const Row& row : kRows) {
    SingleRelayNode node;
    Replica replica = MakeReplica("s1", "desk", Role::kPlain);
    for (const std::int64_t startedAt : { 5, 6 }) {
      replica.mStartedAt = startedAt;
      node.Step(ReplicasRead{ { replica } });
      int lines = 0;
      for (int n = 0; n < 3; ++n) {
        node.SendRequest("/often/x");
        CHECK(node.Find<StartCall>() != nullptr);
        node.Step(RelayBackoffSeen{ node.LatestCall()->mCall, row.mTime });
        lines += CountEntries(node, "server-backoff-malformed");
        CHECK_EQUAL(0, CountEntries(node, "server-backoff"));
        node.EndLatestCall(RelayResult::kDone, 200);
      }
      CHECK_EQUAL(row.mLines, lines);
    }
  }
}

TEST(ServerBackoff, LongestTimeHoldsForAStart)
{
  SingleRelayNode node;
  Replica replica = MakeReplica("s1", "desk", Role::kPlain);
  node.Step(ReplicasRead{ { replica } });
  node.SendRequest("/often/x");
  const StartCall first = *node.LatestCall();
  node.SendRequest("/often/x");
  node.Step(RelayBackoffSeen{ first.mCall, kBackoff });
  node.Step(RelayBackoffSeen{ node.LatestCall()->mCall, Milliseconds(1000) });
  node.Step(TimerFired{}, Milliseconds(3000));
  node.SendRequest("/often/x");
  CHECK(node.Find<RefuseCaller>() != nullptr);
  replica.mStartedAt = 9;
  node.Step(ReplicasRead{ { replica } });
  node.SendRequest("/often/x");
  CHECK(node.Find<StartCall>() != nullptr);
}
