#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherfork/detail/scheduling/linear_fit.h"
#include "heatherfork/detail/scheduling/predictive_scheduler.h"
#include "heatherfork/detail/scheduling/prefix_hints.h"
#include "heatherfork/detail/scheduling/shard_chooser.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::detail;

namespace {

const Instant kStart{ Milliseconds(1000000) };
const NodeId kEntry{ NodeName{ "entry" }, 7 };

BackendServer
MakeServer(const std::string& aName, Role aRole, int aSlots, int aPieces)
{
  BackendServer server;
  server.mName = ServerName{ aName };
  server.mZone = ZoneName{ "zone-a" };
  server.mRole = aRole;
  server.mSlots = aSlots;
  server.mPieces = aPieces;
  return server;
}

Configuration
MakeConfiguration(int aPrefill, int aDecode, int aSlots)
{
  Configuration configuration;
  configuration.mRevision = 1;
  configuration.mClasses = {
    { ClassName{ "prompt" }, false, false, Milliseconds(10000), 10 },
    { ClassName{ "summary" }, true, false, Milliseconds(60000), 0 },
  };
  Pool pool;
  pool.mName = PoolName{ "pool" };
  pool.mModel = ModelName{ "model" };
  for (int n = 0; n < aPrefill; ++n) {
    pool.mServers.push_back(
      MakeServer("p" + std::to_string(n), Role::kPrefill, 16, 0));
  }
  for (int n = 0; n < aDecode; ++n) {
    pool.mServers.push_back(
      MakeServer("d" + std::to_string(n), Role::kDecode, aSlots, 100));
  }
  configuration.mPools = { pool };
  return configuration;
}

/// The scheduler of one node and its recorded effects.
struct Fixture
{
  explicit Fixture(Configuration aConfiguration)
  {
    mSettings.mSelf = NodeId{ NodeName{ "self" }, 1 };
    SetConfiguration(std::move(aConfiguration));
  }

  void SetConfiguration(Configuration aConfiguration)
  {
    mConfiguration =
      std::make_shared<const Configuration>(std::move(aConfiguration));
  }

  Context MakeContext()
  {
    return Context{ mSettings, mNow,     mConfiguration, mMembers,
                    mRandom,   mEffects, mToSelf };
  }

  template<class Message>
  void Send(const Message& aMessage)
  {
    Context context = MakeContext();
    mScheduler.On(context, kEntry, aMessage);
  }

  void Tick(Duration aLater)
  {
    mNow += aLater;
    Context context = MakeContext();
    mScheduler.On(context, TimerFired{});
  }

  void NodeGone()
  {
    Context context = MakeContext();
    mScheduler.OnNodeGone(context, kEntry);
  }

  PlaceRequest MakeRequest(std::uint64_t aNumber,
                           int aPromptTokens = 1000) const
  {
    PlaceRequest place;
    place.mAttempt = AttemptId{ 7, aNumber };
    place.mModel = ModelName{ "model" };
    place.mWorkspace = WorkspaceName{ "tenant" };
    place.mClass = ClassName{ "prompt" };
    place.mPromptTokens = aPromptTokens;
    place.mMaxTokens = 100;
    place.mDeadline = mNow + Milliseconds(10000);
    return place;
  }

  void Step(std::uint64_t aNumber, PlacementStep aStep, Duration aTook)
  {
    mNow += aTook;
    Send(PlacementProgress{ AttemptId{ 7, aNumber }, aStep, aTook, 0 });
  }

  void End(std::uint64_t aNumber)
  {
    Send(PlacementEnded{ AttemptId{ 7, aNumber } });
  }

  template<class Message>
  std::optional<Message> LastSent(std::uint64_t aNumber) const
  {
    std::optional<Message> found;
    for (const Effect& effect : mEffects) {
      const auto* sent = std::get_if<SendToPeer>(&effect);
      const auto* message =
        sent == nullptr ? nullptr : std::get_if<Message>(&sent->mMessage);
      if (message != nullptr && message->mAttempt.mSequence == aNumber) {
        found = *message;
      }
    }
    return found;
  }

  std::string OutcomeOf(std::uint64_t aNumber) const
  {
    if (const auto placed = LastSent<Placed>(aNumber)) {
      return "placed";
    }
    if (const auto refused = LastSent<PlacementRefused>(aNumber)) {
      return std::string(InfoOf(refused->mError.mCode).mIdentifier);
    }
    return LastSent<PlacementQueued>(aNumber) ? "queued" : "nothing";
  }

  NodeSettings mSettings;
  Instant mNow = kStart;
  ConfigurationPtr mConfiguration;
  Members mMembers;
  std::mt19937_64 mRandom{ 1 };
  Effects mEffects;
  std::deque<PeerMessage> mToSelf;
  PredictiveScheduler mScheduler;
};

} // namespace

TEST_GROUP(Scheduler){};

TEST(Scheduler, PlacesQueuesOrRefusesByAvailableServers)
{
  struct Row
  {
    const char* mName;
    int mPrefill;
    int mDecode;
    std::function<void(PlaceRequest&, Configuration&)> mChange;
    const char* mExpected;
  };
  const auto pool = [](Configuration& aConfiguration) -> Pool& {
    return aConfiguration.mPools.front();
  };
  const std::vector<Row> rows{
    { "servers with capacity", 1, 1, [](auto&, auto&) {}, "placed" },
    { "no prefill server", 0, 1, [](auto&, auto&) {}, "no-backend-server" },
    { "no decode server", 1, 0, [](auto&, auto&) {}, "no-backend-server" },
    { "unknown model",
      1,
      1,
      [](auto& aPlace, auto&) { aPlace.mModel = ModelName{ "other" }; },
      "no-backend-server" },
    { "excluded",
      1,
      1,
      [](auto& aPlace, auto&) { aPlace.mExcluded = { ServerName{ "d0" } }; },
      "no-backend-server" },
    { "leaving",
      1,
      1,
      [&](auto&, auto& aConfiguration) {
        pool(aConfiguration).mServers.back().mLeaving = true;
      },
      "no-backend-server" },
    { "deadline before the first token",
      1,
      1,
      [](auto& aPlace, auto&) { aPlace.mDeadline = kStart + Milliseconds(1); },
      "deadline-too-short" },
    { "zero-length queue",
      1,
      1,
      [](auto&, auto& aConfiguration) {
        aConfiguration.mLimits.mMaxQueued = 0;
      },
      "queue-full" },
    { "too few free pieces",
      1,
      1,
      [&](auto&, auto& aConfiguration) {
        pool(aConfiguration).mServers.back().mPieces = 0;
      },
      "queued" },
  };
  for (const Row& row : rows) {
    Configuration configuration =
      MakeConfiguration(row.mPrefill, row.mDecode, 20);
    PlaceRequest place = Fixture(configuration).MakeRequest(1);
    row.mChange(place, configuration);
    Fixture fixture(configuration);
    fixture.Send(place);
    STRCMP_EQUAL_TEXT(row.mExpected, fixture.OutcomeOf(1).c_str(), row.mName);
  }
}

TEST(Scheduler, NeverPlacesMoreRequestsThanSlots)
{
  for (const int slots : { 1, 2, 5 }) {
    Fixture fixture(MakeConfiguration(8, 1, slots));
    for (int n = 1; n <= slots + 3; ++n) {
      fixture.Send(fixture.MakeRequest(static_cast<std::uint64_t>(n), 30));
    }
    for (int n = 1; n <= slots + 3; ++n) {
      STRCMP_EQUAL(n <= slots ? "placed" : "queued",
                   fixture.OutcomeOf(static_cast<std::uint64_t>(n)).c_str());
    }
  }
}

TEST(Scheduler, PlacesNextQueuedRequestWhenSlotIsFreed)
{
  struct Row
  {
    const char* mName;
    std::function<void(Fixture&)> mFree;
    const char* mExpected;
  };
  const std::vector<Row> rows{
    { "request ended", [](Fixture& aFixture) { aFixture.End(1); }, "placed" },
    { "nothing", [](Fixture&) {}, "queued" },
    { "end message lost",
      [](Fixture& aFixture) { aFixture.Tick(Milliseconds(60000)); },
      "deadline-too-short" },
    { "queued request ends first",
      [](Fixture& aFixture) {
        aFixture.End(2);
        aFixture.End(1);
      },
      "queued" },
  };
  for (const Row& row : rows) {
    Fixture fixture(MakeConfiguration(1, 1, 1));
    fixture.Send(fixture.MakeRequest(1, 30));
    fixture.Step(1, PlacementStep::kPrefilled, Milliseconds(10));
    fixture.Send(fixture.MakeRequest(2, 30));
    row.mFree(fixture);
    STRCMP_EQUAL_TEXT(row.mExpected, fixture.OutcomeOf(2).c_str(), row.mName);
  }
}

TEST(Scheduler, RepeatedRequestGetsSamePlacement)
{
  Fixture fixture(MakeConfiguration(2, 2, 20));
  const PlaceRequest place = fixture.MakeRequest(1);
  fixture.Send(place);
  const auto first = fixture.LastSent<Placed>(1);
  fixture.mEffects.clear();
  fixture.Send(place);
  CHECK(first->mServer == fixture.LastSent<Placed>(1)->mServer);
  CHECK(first->mPrefill == fixture.LastSent<Placed>(1)->mPrefill);
}

TEST(Scheduler, ReleasesPlacementsOfDeadNode)
{
  Fixture fixture(MakeConfiguration(1, 1, 1));
  fixture.Send(fixture.MakeRequest(1, 30));
  fixture.NodeGone();
  fixture.Send(fixture.MakeRequest(2, 30));
  STRCMP_EQUAL("placed", fixture.OutcomeOf(2).c_str());
}

TEST(Scheduler, AvoidsSlowPrefillServerForLongPrompt)
{
  struct Row
  {
    Duration mElapsed;
    bool mIsAvoided;
  };
  // The expected time for 1,000 tokens is 30 ms.
  const std::vector<Row> rows{ { Milliseconds(30), false },
                               { Milliseconds(36), false },
                               { Milliseconds(200), true } };
  for (const Row& row : rows) {
    Fixture fixture(MakeConfiguration(2, 2, 20));
    fixture.Send(fixture.MakeRequest(1));
    const ServerName first = fixture.LastSent<Placed>(1)->mPrefill;
    fixture.Step(1, PlacementStep::kPrefilled, row.mElapsed);
    fixture.Send(fixture.MakeRequest(2, 15000));
    const bool isAvoided = fixture.LastSent<Placed>(2)->mPrefill != first;
    CHECK_EQUAL(row.mIsAvoided, isAvoided);
  }
}

TEST(Scheduler, AvoidsPrefillServerThatHangs)
{
  Fixture fixture(MakeConfiguration(2, 2, 20));
  fixture.Send(fixture.MakeRequest(1));
  const ServerName hanging = fixture.LastSent<Placed>(1)->mPrefill;
  fixture.Tick(Milliseconds(2000));
  for (std::uint64_t n = 2; n < 8; ++n) {
    fixture.Send(fixture.MakeRequest(n));
    CHECK(fixture.LastSent<Placed>(n)->mPrefill != hanging);
    fixture.Step(n, PlacementStep::kPrefilled, Milliseconds(30));
  }
}

TEST(Scheduler, IsolatesCrashSuspect)
{
  Fixture fixture(MakeConfiguration(1, 1, 20));
  fixture.Send(fixture.MakeRequest(1, 30));
  PlaceRequest suspect = fixture.MakeRequest(2, 30);
  suspect.mIsolate = true;
  fixture.Send(suspect);
  fixture.Send(fixture.MakeRequest(3, 30));
  STRCMP_EQUAL("queued", fixture.OutcomeOf(2).c_str());
  STRCMP_EQUAL("queued", fixture.OutcomeOf(3).c_str());
  fixture.End(1);
  STRCMP_EQUAL("placed", fixture.OutcomeOf(2).c_str());
  STRCMP_EQUAL("queued", fixture.OutcomeOf(3).c_str());
  fixture.End(2);
  STRCMP_EQUAL("placed", fixture.OutcomeOf(3).c_str());
}

TEST(Scheduler, RefusesQueuedRequestWhenLastServerLeaves)
{
  Configuration configuration = MakeConfiguration(1, 1, 1);
  Fixture fixture(configuration);
  fixture.Send(fixture.MakeRequest(1, 30));
  fixture.Send(fixture.MakeRequest(2, 30));
  configuration.mPools.front().mServers.back().mLeaving = true;
  fixture.SetConfiguration(configuration);
  fixture.Tick(Milliseconds(20));
  STRCMP_EQUAL("no-backend-server", fixture.OutcomeOf(2).c_str());
}

TEST(Scheduler, QueueOrdersByClassAndWorkspaceShare)
{
  struct Item
  {
    std::uint64_t mNumber;
    const char* mWorkspace;
    const char* mClass;
    bool mMayWait;
  };
  struct Row
  {
    const char* mName;
    std::vector<Item> mItems;
    std::vector<std::uint64_t> mExpected;
  };
  const std::vector<Row> rows{
    { "arrival order",
      { { 2, "a", "prompt", false }, { 3, "a", "prompt", false } },
      { 2, 3 } },
    { "deferrable class goes last",
      { { 2, "a", "summary", true }, { 3, "a", "prompt", false } },
      { 3, 2 } },
    { "workspace over its share yields to others",
      { { 2, "a", "prompt", false },
        { 3, "a", "prompt", false },
        { 4, "a", "prompt", false },
        { 5, "b", "prompt", false } },
      { 2, 5, 3, 4 } },
  };
  for (const Row& row : rows) {
    Fixture fixture(MakeConfiguration(1, 1, 2));
    // Deferrable requests leave the last slot free, so both slots are filled.
    fixture.Send(fixture.MakeRequest(100, 30));
    fixture.Send(fixture.MakeRequest(101, 30));
    for (const Item& item : row.mItems) {
      PlaceRequest place = fixture.MakeRequest(item.mNumber, 30);
      place.mWorkspace = WorkspaceName{ item.mWorkspace };
      place.mClass = ClassName{ item.mClass };
      place.mMayWait = item.mMayWait;
      fixture.Send(place);
    }
    std::vector<std::uint64_t> served;
    fixture.End(101);
    fixture.End(100);
    for (std::size_t n = 0; n <= row.mItems.size(); ++n) {
      for (const Item& item : row.mItems) {
        const bool isNew =
          fixture.OutcomeOf(item.mNumber) == "placed" &&
          std::find(served.begin(), served.end(), item.mNumber) == served.end();
        if (isNew) {
          served.push_back(item.mNumber);
        }
      }
      fixture.mNow += Milliseconds(1);
      if (n < served.size()) {
        fixture.End(served[n]);
      }
    }
    CHECK_TEXT(row.mExpected == served, row.mName);
  }
}

TEST(Scheduler, DeferrableRequestIsNotStarved)
{
  Fixture fixture(MakeConfiguration(1, 1, 1));
  fixture.Send(fixture.MakeRequest(1, 30));
  PlaceRequest older = fixture.MakeRequest(2, 30);
  older.mMayWait = true;
  older.mClass = ClassName{ "summary" };
  fixture.Send(older);
  fixture.Tick(Milliseconds(6000));
  PlaceRequest newer = fixture.MakeRequest(3, 30);
  newer.mMayWait = true;
  newer.mClass = ClassName{ "summary" };
  fixture.Send(newer);
  fixture.Tick(Milliseconds(1000));
  fixture.End(1);
  STRCMP_EQUAL("placed", fixture.OutcomeOf(2).c_str());
  STRCMP_EQUAL("queued", fixture.OutcomeOf(3).c_str());
}

TEST(Scheduler, UsesLoadReportsOnlyDuringTakeover)
{
  struct Row
  {
    Duration mLater;
    const char* mExpected;
  };
  const std::vector<Row> rows{ { Milliseconds(0), "queued" },
                               { Milliseconds(6000), "placed" } };
  for (const Row& row : rows) {
    Fixture fixture(MakeConfiguration(1, 1, 20));
    Context context = fixture.MakeContext();
    fixture.mScheduler.On(
      context,
      ReportReceived{ ServerName{ "d0" }, { 20, 0, 0, fixture.mNow } });
    PlaceRequest warmUp = fixture.MakeRequest(1, 30);
    fixture.Send(warmUp);
    fixture.End(1);
    fixture.Tick(row.mLater);
    fixture.Send(fixture.MakeRequest(2, 30));
    STRCMP_EQUAL(row.mExpected, fixture.OutcomeOf(2).c_str());
  }
}

TEST_GROUP(Learning){};

TEST(Learning, LinearFitConverges)
{
  struct Row
  {
    double mBase;
    double mSlope;
  };
  for (const Row& row : { Row{ 5000, 25 }, Row{ 0, 10 }, Row{ 14000, 0 } }) {
    LinearFit fit(1000, 100, 1000);
    for (int n = 0; n < 2000; ++n) {
      const double x = n % 40 * 50;
      fit.Observe(x, row.mBase + row.mSlope * x);
    }
    DOUBLES_EQUAL(row.mBase, fit.Base(), 20);
    DOUBLES_EQUAL(row.mSlope, fit.Slope(), 0.05);
  }
}

TEST(Learning, SlownessDecaysButIsRemembered)
{
  struct Row
  {
    Duration mAge;
    double mExpected;
  };
  const std::vector<Row> rows{ { Milliseconds(0), 4 },
                               { Milliseconds(1000), 2.5 },
                               { Milliseconds(2000), 1.75 } };
  for (const Row& row : rows) {
    Slowness slowness;
    slowness.Observe(kStart, 4);
    DOUBLES_EQUAL(row.mExpected,
                  slowness.Decayed(kStart + row.mAge, SchedulingSettings{}),
                  0.001);
    DOUBLES_EQUAL(4, slowness.Remembered(), 0.001);
  }
}

TEST(Learning, PrefixHintsExpire)
{
  struct Row
  {
    std::vector<std::uint64_t> mPrefixes;
    Duration mAge;
    int mExpected;
  };
  const Duration lifetime = Milliseconds(1000);
  const std::vector<Row> rows{
    { { 1, 2, 3, 4 }, Milliseconds(10), 400 },
    { { 1, 2, 9, 8 }, Milliseconds(10), 200 },
    { { 6, 7, 8, 9 }, Milliseconds(10), 0 },
    { { 1, 2, 3, 4 }, Milliseconds(2000), 0 },
  };
  for (const Row& row : rows) {
    PrefixHints hints;
    hints.Learn(kStart, ServerName{ "p0" }, { 1, 2, 3, 4 });
    const auto found =
      hints.Find(kStart + row.mAge, lifetime, row.mPrefixes, 400);
    CHECK_EQUAL(row.mExpected, found.empty() ? 0 : found.front().mTokens);
  }
}

TEST_GROUP(Shards){};

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
  Fixture fixture(MakeConfiguration(20, 20, 1));
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
  Fixture fixture(MakeConfiguration(1, 1, 1));
  fixture.mMembers = MakeMembers(3);
  ShardChooser chooser;
  Context context = fixture.MakeContext();
  PlaceRequest place = fixture.MakeRequest(1);
  place.mModel = ModelName{ "other" };
  CHECK_EQUAL(0u, chooser.SchedulerFor(context, place).mIncarnation);
}
