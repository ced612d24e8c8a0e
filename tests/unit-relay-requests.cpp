#include "heatherfork/detail/relay/replica_book.h"
#include "heatherfork/detail/relay/retry_share.h"
#include "heatherfork/detail/relay/route_table.h"
#include "relay_alone.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

/// What a caller gets after one reply of a replica.
enum class Then
{
  kAgain,   ///< Sent to another replica.
  kPassed,  ///< The replica's answer.
  kNotRun,  ///< A promise that it has not run.
  kUnknown, ///< A failure that promises nothing.
};

Then
After(const Alone& aNode)
{
  if (aNode.Find<StartCall>() != nullptr) {
    return Then::kAgain;
  }
  if (aNode.Find<PassAnswer>() != nullptr) {
    return Then::kPassed;
  }
  const auto* refused = aNode.Find<RefuseCaller>();
  if (refused == nullptr) {
    FAIL("expected an answer to the caller");
    return Then::kUnknown;
  }
  const int status = InfoOf(refused->mError.mCode).mHttpStatus;
  return status == 503 || status == 429 ? Then::kNotRun : Then::kUnknown;
}

} // namespace

TEST_GROUP(RelayRequests){};

TEST(RelayRequests, ARepeatFollowsOnlyWhatAllowsIt)
{
  struct Row
  {
    std::string mPath;
    RelayResult mResult;
    int mStatus;
    Then mThen;
  };
  const Row kRows[] = {
    { "/once/x", RelayResult::kDone, 200, Then::kPassed },
    { "/once/x", RelayResult::kRanFailed, 500, Then::kPassed },
    { "/once/x", RelayResult::kNotRun, 503, Then::kAgain },
    { "/once/x", RelayResult::kWrongPlace, 421, Then::kAgain },
    { "/once/x", RelayResult::kNotSent, 0, Then::kAgain },
    { "/once/x", RelayResult::kBroken, 0, Then::kUnknown },
    { "/often/x", RelayResult::kRanFailed, 500, Then::kAgain },
    { "/often/x", RelayResult::kBroken, 0, Then::kAgain },
  };
  for (const Row& row : kRows) {
    Alone node;
    node.Ask(row.mPath);
    const ServerName first = node.Call()->mServer;
    node.Reply(row.mResult, row.mStatus);
    CHECK_TEXT(After(node) == row.mThen, row.mPath.c_str());
    if (row.mThen == Then::kAgain) {
      CHECK(node.Call()->mServer != first);
    }
  }
}

TEST(RelayRequests, WhatMustNotRepeatGoesOnAFreshConnection)
{
  Alone node;
  node.Ask("/once/x");
  CHECK(node.Call()->mFresh);
  node.Ask("/often/x");
  CHECK_FALSE(node.Call()->mFresh);
}

TEST(RelayRequests, NoMoreReplicasRunItThanTheRouteAllows)
{
  Alone node;
  node.Ask("/often/x");
  node.Call();
  node.Reply(RelayResult::kBroken);
  CHECK(After(node) == Then::kAgain);
  node.Call();
  node.Reply(RelayResult::kBroken);
  CHECK(After(node) == Then::kUnknown);
}

TEST(RelayRequests, AStreamIsPrefilledThenDecoded)
{
  Alone node;
  node.Ask("/stream/x");
  CHECK(node.Call()->mStage == RelayStage::kPrefill);
  const Address holder = node.Call()->mAddress;
  node.Reply(RelayResult::kDone, 200);
  CHECK(node.Call()->mStage == RelayStage::kDecode);
  CHECK(node.Call()->mKvHolder == holder);
  STRCMP_EQUAL("kv", node.Call()->mCacheId.c_str());
}

TEST(RelayRequests, ABrokenStreamGoesOnOnlyWhereItMayBeResumed)
{
  for (const bool isResumable : { false, true }) {
    Alone node;
    node.Ask(isResumable ? "/resumable/x" : "/stream/x");
    node.Call();
    node.Reply(RelayResult::kDone, 200);
    const RelayCallId call = node.Call()->mCall;
    node.Step(RelayBegan{ call });
    RelayEnded broken;
    broken.mCall = call;
    broken.mResult = RelayResult::kBroken;
    broken.mLastEvent = "7";
    node.Step(broken);
    CHECK_EQUAL(isResumable, node.Find<StartCall>() != nullptr);
    CHECK_EQUAL(!isResumable, node.Find<BreakStream>() != nullptr);
    if (isResumable) {
      node.Call();
      node.Reply(RelayResult::kDone, 200);
      STRCMP_EQUAL("7", node.Call()->mResumeAfter.c_str());
    }
  }
}

TEST(RelayRequests, ACallerThatLeavesStopsItsCall)
{
  Alone node;
  node.Ask("/stream/x");
  const RelayCallId call = node.Call()->mCall;
  node.Step(RelayCallerLeft{ node.mCaller });
  CHECK(node.Find<StopCall>() != nullptr);
  CHECK(node.Find<StopCall>()->mCall == call);
  CHECK_EQUAL(0U, node.mReducer.View().mOpenRequests);
}

TEST(RelayRequests, TheRoutesTimeoutEndsACall)
{
  Alone node;
  node.Ask("/once/x", Milliseconds(9000));
  node.Call();
  node.Step(TimerFired{}, Milliseconds(4900));
  CHECK(node.Find<RefuseCaller>() == nullptr);
  node.Step(TimerFired{}, Milliseconds(200));
  CHECK(node.Find<StopCall>() != nullptr);
  CHECK(After(node) == Then::kUnknown);
}

TEST(RelayRequests, ALeavingReplicaGetsNothingNew)
{
  Alone node;
  Replicas replicas = SampleReplicas();
  for (Replica& replica : replicas) {
    replica.mLeaving = replica.mName.mValue == "s1";
  }
  node.Step(ReplicasRead{ replicas });
  for (int n = 0; n < 4; ++n) {
    node.Ask("/once/x");
    STRCMP_EQUAL("s2", node.Call()->mServer.mValue.c_str());
  }
}

TEST(RelayRequests, AnOlderRevisionIsNeverTakenBack)
{
  Alone node;
  node.Step(RoutingRead{ SampleRouting(9) });
  node.Step(RoutingRead{ SampleRouting(8) });
  CHECK_EQUAL(9U, node.mReducer.View().mRouting->mRevision);
}

TEST(RelayRequests, WithoutRoutesNothingIsDenied)
{
  RelayReducer reducer(NodeSettings{}, RelaySettings{});
  const RelayEffects effects =
    reducer.Reduce({ kStart, RelayArrived{ 1, {} } });
  const auto* refused = std::get_if<RefuseCaller>(&effects.back());
  CHECK(refused != nullptr);
  CHECK_EQUAL(503, InfoOf(refused->mError.mCode).mHttpStatus);
}

TEST(RelayRequests, APlannedStopFinishesWhatIsTakenThenEnds)
{
  Alone node;
  node.Ask("/once/x", Milliseconds(9000));
  node.Call();
  node.Step(StopRequested{});
  CHECK_FALSE(node.mReducer.View().IsReady());
  node.Step(TimerFired{}, Milliseconds(4000));
  CHECK(node.Find<ExitProcess>() == nullptr);
  node.Ask("/once/x");
  CHECK(After(node) == Then::kNotRun);
  const auto* measured = node.Find<RelayMeasured>();
  CHECK(measured != nullptr && measured->mOutcome == RelayOutcome::kRefused);
  RelayEnded ended;
  ended.mCall = { 1, 1 };
  ended.mResult = RelayResult::kDone;
  node.Step(ended);
  CHECK(node.Find<PassAnswer>() != nullptr);
  node.Step(TimerFired{});
  CHECK(node.Find<ExitProcess>() != nullptr);
}

// Load: a rolling replacement with streams that outlast the grace period
// (LOST).
TEST(RelayRequests, APlannedStopCutsNothingBeforeTheLastSixthOfTheGrace)
{
  Alone node;
  node.Ask("/long/x", Milliseconds(20000));
  node.Call();
  node.Step(StopRequested{});
  node.Step(TimerFired{}, Milliseconds(8000 * 5 / 6 + 10));
  CHECK(node.Find<ExitProcess>() == nullptr);
  CHECK_EQUAL(1U, node.mReducer.View().mOpenRequests);
  node.Step(TimerFired{}, Milliseconds(1000));
  CHECK(node.Find<ExitProcess>() != nullptr);
}

// Load: decode replicas that refuse after each prefill (BUDGET on a grown
// site).
TEST(RelayRequests, ARepeatCostsAllTheCallsThatItMakes)
{
  struct Row
  {
    std::string mPath;
    bool mFailsAtPrefill;
    int mCost;
  };
  const Row kRows[] = {
    { "/often/x", false, 1 },
    { "/stream/x", true, 1 },
    { "/stream/x", false, 2 },
  };
  for (const Row& row : kRows) {
    for (const int budget : { row.mCost - 1, row.mCost }) {
      Alone node(2 * budget); // Half of the slack is spent.
      node.Ask(row.mPath);
      node.Call();
      if (row.mPath == "/stream/x" && !row.mFailsAtPrefill) {
        node.Reply(RelayResult::kDone, 200);
        node.Call();
      }
      node.Reply(RelayResult::kNotRun, 503);
      const bool isAgain = node.Find<StartCall>() != nullptr;
      CHECK_EQUAL_TEXT(budget == row.mCost, isAgain, row.mPath.c_str());
    }
  }
}

TEST(RelayRequests, TheBudgetOfAServiceIsSplitOverNodes)
{
  struct Row
  {
    int mRequests;
    int mSlack;
    std::size_t mNodes;
    int mAllowed;
  };
  // 0.8 of 0.2 of the requests, half of the slack.
  const Row kRows[] = {
    { 0, 0, 1, 0 },   { 100, 0, 1, 16 }, { 100, 0, 8, 16 },
    { 0, 80, 1, 40 }, { 0, 80, 8, 5 },   { 100, 80, 8, 21 },
  };
  for (const Row& row : kRows) {
    detail::ServiceRetryBudget retryBudget;
    RelaySettings settings;
    settings.mRetrySlack = row.mSlack;
    const ServiceName service{ "s" };
    for (int n = 0; n < row.mRequests; ++n) {
      retryBudget.OnRequest(kStart, service);
    }
    int taken = 0;
    while (retryBudget.TrySpend(kStart, settings, service, row.mNodes, 1)) {
      ++taken;
    }
    CHECK_EQUAL(row.mAllowed, taken);
    // The window slides.
    CHECK_EQUAL(
      row.mSlack / row.mNodes / 2 >= 1,
      retryBudget.TrySpend(
        kStart + Milliseconds(10001), settings, service, row.mNodes, 1));
  }
}

TEST(RelayRequests, TheLongestPrefixOfThePathWins)
{
  auto routing = std::make_shared<Routing>();
  routing->mRoutes = { RouteOf("/", "a"),
                       RouteOf("/x/", "b"),
                       RouteOf("/x/y/", "c") };
  detail::RouteTable table;
  table.Update(routing);
  struct Row
  {
    std::string mHost;
    std::string mPath;
    std::string mPrefix; ///< Empty: no route.
  };
  const Row kRows[] = {
    { "h", "/", "/" },      { "h", "/z", "/" },
    { "h", "/x", "/" },     { "h", "/x/", "/x/" },
    { "h", "/x/y", "/x/" }, { "h", "/x/y/z/w", "/x/y/" },
    { "h", "x/y", "" },     { "other", "/x/y/", "" },
  };
  for (const Row& row : kRows) {
    const Route* route = table.Find(row.mHost, row.mPath);
    STRCMP_EQUAL_TEXT(row.mPrefix.c_str(),
                      route == nullptr ? "" : route->mPrefix.c_str(),
                      row.mPath.c_str());
  }
}

TEST(RelayRequests, EntriesThatLapsedWithTheStoreAreHeldForAWhile)
{
  detail::ReplicaRegistry registry;
  registry.OnStoreReachability(kStart, true);
  registry.OnPublished(kStart, SampleReplicas());
  // While the store is sound, what vanishes is gone.
  registry.OnPublished(kStart, { SampleReplicas().front() });
  CHECK_EQUAL(1U, registry.Effective().size());
  registry.OnPublished(kStart, SampleReplicas());
  registry.OnStoreReachability(kStart, false);
  const Instant back = kStart + Milliseconds(5000);
  registry.OnStoreReachability(back, true);
  registry.OnPublished(back, {});
  CHECK_EQUAL(6U, registry.Effective().size());
  registry.OnPublished(back + Milliseconds(1000), { SampleReplicas().front() });
  CHECK_FALSE(registry.Expire(back + Milliseconds(1500)));
  CHECK_EQUAL(6U, registry.Effective().size());
  CHECK(registry.Expire(back + Milliseconds(2500)));
  CHECK_EQUAL(1U, registry.Effective().size());
}

// Load: most nodes are killed at once and refuse connections until they are
// found dead.
TEST(RelayRequests, ALinkThatOnlyBreaksIsLeftAlone)
{
  Alone node;
  node.Join({ "m1", "m2", "m3", "m4" });
  int asked = 0;
  int breaks = 0;
  int started = 0;
  const auto sentTo = [&]() -> std::optional<NodeId> {
    std::optional<NodeId> peer;
    for (const RelayEffect& effect : node.mLast) {
      if (const auto* sent = std::get_if<SendToPeer>(&effect)) {
        asked += std::holds_alternative<PlaceRequest>(sent->mMessage) ? 1 : 0;
        peer = sent->mPeer;
      }
    }
    started += node.Find<StartCall>() != nullptr ? 1 : 0;
    return peer;
  };
  for (const char* path : { "/often/", "/stream/" }) {
    node.Ask(path);
    std::optional<NodeId> peer = sentTo();
    for (int turn = 0; turn < 200 && peer; ++turn) {
      ++breaks;
      node.Step(PeerLost{ *peer });
      peer = sentTo();
    }
  }
  // Each is asked once, and once more in case that only the connection was old.
  CHECK_EQUAL(4, asked);
  CHECK_EQUAL(2, started);
  // A probe of the peer or a list of what it holds may break besides.
  CHECK(breaks <= 10);
}
