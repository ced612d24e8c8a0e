#include "heatherfork/detail/relay/replica_registry.h"
#include "heatherfork/detail/relay/route_table.h"
#include "heatherfork/detail/relay/service_retry_budget.h"
#include "single_relay_node.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

/// What the caller gets after a call to a replica has ended.
enum class CallerOutcome
{
  kRetried,         ///< Nothing yet; retried on another replica.
  kAnswerForwarded, ///< The replica's answer.
  kNotRun,          ///< An error that rules out that it ran.
  kUnknown,         ///< An error that leaves this open.
};

CallerOutcome
OutcomeFor(const SingleRelayNode& aNode)
{
  if (aNode.Find<StartCall>() != nullptr) {
    return CallerOutcome::kRetried;
  }
  if (aNode.Find<PassAnswer>() != nullptr) {
    return CallerOutcome::kAnswerForwarded;
  }
  const auto* refused = aNode.Find<RefuseCaller>();
  if (refused == nullptr) {
    FAIL("expected an answer to the caller");
    return CallerOutcome::kUnknown;
  }
  const int status = InfoOf(refused->mError.mCode).mHttpStatus;
  return status == 503 || status == 429 ? CallerOutcome::kNotRun
                                        : CallerOutcome::kUnknown;
}

} // namespace

TEST_GROUP(RelayRequests){};

TEST(RelayRequests, RetriesOnlyWhenResultAndRouteAllowIt)
{
  struct Row
  {
    std::string mPath;
    RelayResult mResult;
    int mStatus;
    CallerOutcome mExpected;
  };
  const Row kRows[] = {
    { "/once/x", RelayResult::kDone, 200, CallerOutcome::kAnswerForwarded },
    { "/once/x",
      RelayResult::kRanFailed,
      500,
      CallerOutcome::kAnswerForwarded },
    { "/once/x", RelayResult::kNotRun, 503, CallerOutcome::kRetried },
    { "/once/x", RelayResult::kWrongReplica, 421, CallerOutcome::kRetried },
    { "/once/x", RelayResult::kNotSent, 0, CallerOutcome::kRetried },
    { "/once/x", RelayResult::kBroken, 0, CallerOutcome::kUnknown },
    { "/often/x", RelayResult::kRanFailed, 500, CallerOutcome::kRetried },
    { "/often/x", RelayResult::kBroken, 0, CallerOutcome::kRetried },
  };
  for (const Row& row : kRows) {
    SingleRelayNode node;
    node.SendRequest(row.mPath);
    const ServerName first = node.LatestCall()->mServer;
    node.EndLatestCall(row.mResult, row.mStatus);
    CHECK_TEXT(OutcomeFor(node) == row.mExpected, row.mPath.c_str());
    if (row.mExpected == CallerOutcome::kRetried) {
      CHECK(node.LatestCall()->mServer != first);
    }
  }
}

TEST(RelayRequests, UsesNewConnectionForNonRepeatableRequest)
{
  SingleRelayNode node;
  node.SendRequest("/once/x");
  CHECK(node.LatestCall()->mNeedsNewConnection);
  node.SendRequest("/often/x");
  CHECK_FALSE(node.LatestCall()->mNeedsNewConnection);
}

TEST(RelayRequests, StopsRetryingAtMaxAttemptsOfRoute)
{
  SingleRelayNode node;
  node.SendRequest("/often/x");
  node.LatestCall();
  node.EndLatestCall(RelayResult::kBroken);
  CHECK(OutcomeFor(node) == CallerOutcome::kRetried);
  node.LatestCall();
  node.EndLatestCall(RelayResult::kBroken);
  CHECK(OutcomeFor(node) == CallerOutcome::kUnknown);
}

TEST(RelayRequests, PrefillsThenDecodesStream)
{
  SingleRelayNode node;
  node.SendRequest("/stream/x");
  CHECK(node.LatestCall()->mStage == RelayStage::kPrefill);
  const Address holder = node.LatestCall()->mAddress;
  node.EndLatestCall(RelayResult::kDone, 200);
  CHECK(node.LatestCall()->mStage == RelayStage::kDecode);
  CHECK(node.LatestCall()->mKvHolder == holder);
  STRCMP_EQUAL("kv", node.LatestCall()->mCacheId.c_str());
}

TEST(RelayRequests, ResumesBrokenStreamOnlyOnResumableRoute)
{
  for (const bool isResumable : { false, true }) {
    SingleRelayNode node;
    node.SendRequest(isResumable ? "/resumable/x" : "/stream/x");
    node.LatestCall();
    node.EndLatestCall(RelayResult::kDone, 200);
    const RelayCallId call = node.LatestCall()->mCall;
    node.Step(RelayStreamStarted{ call });
    RelayCallEnded broken;
    broken.mCall = call;
    broken.mResult = RelayResult::kBroken;
    broken.mLastEvent = "7";
    node.Step(broken);
    CHECK_EQUAL(isResumable, node.Find<StartCall>() != nullptr);
    CHECK_EQUAL(!isResumable, node.Find<BreakStream>() != nullptr);
    if (isResumable) {
      node.LatestCall();
      node.EndLatestCall(RelayResult::kDone, 200);
      STRCMP_EQUAL("7", node.LatestCall()->mResumeAfter.c_str());
    }
  }
}

TEST(RelayRequests, StopsCallWhenCallerDisconnects)
{
  SingleRelayNode node;
  node.SendRequest("/stream/x");
  const RelayCallId call = node.LatestCall()->mCall;
  node.Step(RelayCallerDisconnected{ node.mCaller });
  CHECK(node.Find<StopCall>() != nullptr);
  CHECK(node.Find<StopCall>()->mCall == call);
  CHECK_EQUAL(0U, node.mReducer.View().mOpenRequests);
}

TEST(RelayRequests, EndsCallAtRouteTimeout)
{
  SingleRelayNode node;
  node.SendRequest("/once/x", Milliseconds(9000));
  node.LatestCall();
  node.Step(TimerFired{}, Milliseconds(4900));
  CHECK(node.Find<RefuseCaller>() == nullptr);
  node.Step(TimerFired{}, Milliseconds(200));
  CHECK(node.Find<StopCall>() != nullptr);
  CHECK(OutcomeFor(node) == CallerOutcome::kUnknown);
}

TEST(RelayRequests, SendsNoNewRequestsToLeavingReplica)
{
  SingleRelayNode node;
  Replicas replicas = SampleReplicas();
  for (Replica& replica : replicas) {
    replica.mLeaving = replica.mName.mValue == "s1";
  }
  node.Step(ReplicasRead{ replicas });
  for (int n = 0; n < 4; ++n) {
    node.SendRequest("/once/x");
    STRCMP_EQUAL("s2", node.LatestCall()->mServer.mValue.c_str());
  }
}

TEST(RelayRequests, IgnoresOlderRoutingRevision)
{
  SingleRelayNode node;
  node.Step(RoutingRead{ SampleRouting(9) });
  node.Step(RoutingRead{ SampleRouting(8) });
  CHECK_EQUAL(9U, node.mReducer.View().mRouting->mRevision);
}

TEST(RelayRequests, AnswersUnavailableBeforeRoutingIsRead)
{
  RelayReducer reducer(NodeSettings{}, RelaySettings{});
  const RelayEffects effects =
    reducer.Reduce({ kStart, RelayRequestArrived{ 1, {} } });
  const auto* refused = std::get_if<RefuseCaller>(&effects.back());
  CHECK(refused != nullptr);
  CHECK_EQUAL(503, InfoOf(refused->mError.mCode).mHttpStatus);
}

TEST(RelayRequests, PlannedStopCompletesOpenRequestsThenExits)
{
  SingleRelayNode node;
  node.SendRequest("/once/x", Milliseconds(9000));
  node.LatestCall();
  node.Step(StopRequested{});
  CHECK_FALSE(node.mReducer.View().IsReady());
  node.Step(TimerFired{}, Milliseconds(4000));
  CHECK(node.Find<ExitProcess>() == nullptr);
  node.SendRequest("/once/x");
  CHECK(OutcomeFor(node) == CallerOutcome::kNotRun);
  const auto* measured = node.Find<RelayOutcomeMeasured>();
  CHECK(measured != nullptr && measured->mOutcome == RelayOutcome::kRefused);
  RelayCallEnded ended;
  ended.mCall = { 1, 1 };
  ended.mResult = RelayResult::kDone;
  node.Step(ended);
  CHECK(node.Find<PassAnswer>() != nullptr);
  node.Step(TimerFired{});
  CHECK(node.Find<ExitProcess>() != nullptr);
}

// Guards against streams that are cut off too early, and count as lost, when
// they outlast the grace period during a rolling replacement.
TEST(RelayRequests, PlannedStopKeepsStreamsUntilLastSixthOfGracePeriod)
{
  SingleRelayNode node;
  node.SendRequest("/long/x", Milliseconds(20000));
  node.LatestCall();
  node.Step(StopRequested{});
  node.Step(TimerFired{}, Milliseconds(8000 * 5 / 6 + 10));
  CHECK(node.Find<ExitProcess>() == nullptr);
  CHECK_EQUAL(1U, node.mReducer.View().mOpenRequests);
  node.Step(TimerFired{}, Milliseconds(1000));
  CHECK(node.Find<ExitProcess>() != nullptr);
}

// Guards against exceeding the retry budget: when decode replicas refuse after
// each prefill, a retry repeats the prefill too. Seen on an enlarged
// deployment.
TEST(RelayRequests, RetryChargesAllItsCallsToBudget)
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
      SingleRelayNode node(2 * budget); // A node may spend half of the slack.
      node.SendRequest(row.mPath);
      node.LatestCall();
      if (row.mPath == "/stream/x" && !row.mFailsAtPrefill) {
        node.EndLatestCall(RelayResult::kDone, 200);
        node.LatestCall();
      }
      node.EndLatestCall(RelayResult::kNotRun, 503);
      const bool isRetried = node.Find<StartCall>() != nullptr;
      CHECK_EQUAL_TEXT(budget == row.mCost, isRetried, row.mPath.c_str());
    }
  }
}

TEST(RelayRequests, DividesRetryBudgetOfServiceAmongNodes)
{
  struct Row
  {
    int mRequests;
    int mSlack;
    std::size_t mNodes;
    int mAllowed;
  };
  // 0.8 of the ratio 0.2 of the requests, and the node's part of half the
  // slack.
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
    int granted = 0;
    while (retryBudget.TrySpend(
      kStart, settings, service, 1.0 / static_cast<double>(row.mNodes), 1)) {
      ++granted;
    }
    CHECK_EQUAL(row.mAllowed, granted);
    // Spent calls and requests leave the budget with the window.
    CHECK_EQUAL(row.mSlack / row.mNodes / 2 >= 1,
                retryBudget.TrySpend(kStart + Milliseconds(10001),
                                     settings,
                                     service,
                                     1.0 / static_cast<double>(row.mNodes),
                                     1));
  }
}

// The slack of 295 nodes, split evenly, allows no retry where 15 nodes take all
// callers.
TEST(RelayRequests, GivesRetrySlackToNodesThatTakeCallers)
{
  struct Row
  {
    int mLarge;
    int mSmall;
    double mLargePart;
    double mSmallPart;
  };
  const Row kRows[] = {
    { 0, 8, 0, 1.0 / 8 },
    { 8, 0, 1.0 / 8, 0 },
    { 15, 280, 0.8 / 15, 0.2 / 280 },
    { 1, 1, 0.8, 0.2 },
  };
  for (const Row& row : kRows) {
    std::map<Address, std::uint32_t> shares;
    for (int n = 0; n < row.mLarge + row.mSmall; ++n) {
      shares[Address{ std::to_string(n) }] = n < row.mLarge ? 500 : 120;
    }
    double sum = 0;
    if (row.mLarge > 0) {
      const double part = detail::RetryBudgetShare(shares, 500);
      DOUBLES_EQUAL(row.mLargePart, part, 1e-9);
      sum += row.mLarge * part;
    }
    if (row.mSmall > 0) {
      const double part = detail::RetryBudgetShare(shares, 120);
      DOUBLES_EQUAL(row.mSmallPart, part, 1e-9);
      sum += row.mSmall * part;
    }
    DOUBLES_EQUAL(1, sum, 1e-9);
  }
}

TEST(RelayRequests, SelectsRouteWithLongestPathPrefix)
{
  auto routing = std::make_shared<Routing>();
  routing->mRoutes = { MakeRoute("/", "a"),
                       MakeRoute("/x/", "b"),
                       MakeRoute("/x/y/", "c") };
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

TEST(RelayRequests, RetainsReplicasThatVanishAroundStoreOutage)
{
  detail::ReplicaRegistry registry;
  registry.OnStoreReachability(kStart, true);
  registry.OnPublished(kStart, SampleReplicas());
  // While the store is reachable, a replica without an entry is removed.
  registry.OnPublished(kStart, { SampleReplicas().front() });
  CHECK_EQUAL(1U, registry.Effective().size());
  registry.OnPublished(kStart, SampleReplicas());
  registry.OnStoreReachability(kStart, false);
  const Instant restoredAt = kStart + Milliseconds(5000);
  registry.OnStoreReachability(restoredAt, true);
  registry.OnPublished(restoredAt, {});
  CHECK_EQUAL(6U, registry.Effective().size());
  registry.OnPublished(restoredAt + Milliseconds(1000),
                       { SampleReplicas().front() });
  CHECK_FALSE(registry.Expire(restoredAt + Milliseconds(1500)));
  CHECK_EQUAL(6U, registry.Effective().size());
  CHECK(registry.Expire(restoredAt + Milliseconds(2500)));
  CHECK_EQUAL(1U, registry.Effective().size());
}

// Guards against endless retries to a scheduler: most nodes are killed at once
// and refuse connections until they are declared dead.
TEST(RelayRequests, StopsSendingToUnreachableScheduler)
{
  SingleRelayNode node;
  node.AddNodes({ "m1", "m2", "m3", "m4" });
  int placeRequests = 0;
  int connectionLosses = 0;
  int startedCalls = 0;
  const auto recordEffects = [&]() -> std::optional<NodeId> {
    std::optional<NodeId> peer;
    for (const RelayEffect& effect : node.mLastEffects) {
      if (const auto* sent = std::get_if<SendToPeer>(&effect)) {
        placeRequests +=
          std::holds_alternative<PlaceRequest>(sent->mMessage) ? 1 : 0;
        peer = sent->mPeer;
      }
    }
    startedCalls += node.Find<StartCall>() != nullptr ? 1 : 0;
    return peer;
  };
  for (const char* path : { "/often/", "/stream/" }) {
    node.SendRequest(path);
    std::optional<NodeId> peer = recordEffects();
    for (int loss = 0; loss < 200 && peer; ++loss) {
      ++connectionLosses;
      node.Step(PeerLost{ *peer });
      peer = recordEffects();
    }
  }
  // Each scheduler gets one request, and one more in case that only the
  // connection was stale.
  CHECK_EQUAL(4, placeRequests);
  CHECK_EQUAL(2, startedCalls);
  // Probes and lists of held placements may be lost, too.
  CHECK(connectionLosses <= 10);
}
