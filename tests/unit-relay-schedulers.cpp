#include "heatherfork/detail/relay/pools.h"
#include "heatherfork/detail/scheduling/predictive_scheduler.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using detail::Context;

namespace {

const NodeId kNode{ NodeName{ "entry" }, 7 };
constexpr int kTokensOfReplica = 10000;
constexpr int kPrompt = 4000; // Two fit into a replica, three do not.

/// A scheduler of one engine service with one prefill and one decode replica.
class Fixture
{
public:
  Fixture()
  {
    Routing routing;
    routing.mRevision = 1;
    RoutedService service;
    service.mName.mValue = "llm";
    service.mIsEngine = true;
    service.mTokenCapacity = kTokensOfReplica;
    routing.mServices = { service };
    Replica decode;
    decode.mName.mValue = "d";
    decode.mService = service.mName;
    decode.mRole = Role::kDecode;
    decode.mSlots = 48;
    Replica prefill = decode;
    prefill.mName.mValue = "p";
    prefill.mRole = Role::kPrefill;
    mConfiguration = detail::PoolsOf(routing, { decode, prefill });
    mSettings.mSelf = kNode;
  }

  template<class Call>
  void Do(Duration aAfter, const Call& aCall)
  {
    mNow += aAfter;
    mToSelf.clear();
    Effects effects;
    Context context{ mSettings, mNow,    mConfiguration, mMembers,
                     mRandom,   effects, mToSelf };
    aCall(context);
  }

  PlaceRequest Request(std::uint64_t aNumber, Duration aTarget)
  {
    PlaceRequest place;
    place.mAttempt = { kNode.mIncarnation, aNumber };
    place.mModel.mValue = "llm";
    place.mPromptTokens = kPrompt;
    place.mDeadline = mNow + Milliseconds(9000);
    place.mTarget = aTarget;
    place.mContent = aNumber;
    return place;
  }

  void Place(const PlaceRequest& aPlace)
  {
    Do(Milliseconds(1),
       [&](Context& aContext) { mScheduler.On(aContext, kNode, aPlace); });
  }

  void Tick(Duration aAfter)
  {
    Do(aAfter,
       [&](Context& aContext) { mScheduler.On(aContext, TimerFired{}); });
  }

  template<class T>
  const T* Told() const
  {
    for (const PeerMessage& message : mToSelf) {
      if (const auto* told = std::get_if<T>(&message)) {
        return told;
      }
    }
    return nullptr;
  }

  void PlaceAndPrefill(std::uint64_t aNumber)
  {
    const PlaceRequest place = Request(aNumber, Milliseconds(900));
    Place(place);
    CHECK(Told<Placed>() != nullptr);
    Do(Milliseconds(100), [&](Context& aContext) {
      mScheduler.On(aContext,
                    kNode,
                    PlacementProgress{ place.mAttempt,
                                       PlacementStep::kPrefilled,
                                       Milliseconds(100) });
    });
  }

  NodeSettings mSettings;
  ConfigurationPtr mConfiguration;
  Members mMembers;
  std::mt19937_64 mRandom{ 1 };
  std::deque<PeerMessage> mToSelf;
  Instant mNow{ Milliseconds(1000000) };
  detail::PredictiveScheduler mScheduler;
};

} // namespace

TEST_GROUP(RelaySchedulers){};

// Load: a burst that fills the memory of all decode replicas.
TEST(RelaySchedulers, WhatCantMeetItsTargetIsSentBackAtOnce)
{
  Fixture fixture;
  fixture.PlaceAndPrefill(1);
  fixture.PlaceAndPrefill(2);
  // No place is free, and by its target none will be.
  fixture.Place(fixture.Request(3, Milliseconds(60)));
  const auto* refused = fixture.Told<PlacementRefused>();
  CHECK(refused != nullptr);
  CHECK(refused->mDelay > Duration{});
  CHECK(refused->mDelay <= Milliseconds(3000));
  // It comes back, and waits for a place in its turn.
  fixture.Place(fixture.Request(3, Milliseconds(1)));
  CHECK(fixture.Told<PlacementQueued>() != nullptr);
}

TEST(RelaySchedulers, WithoutATargetOfItsOwnItIsKept)
{
  Fixture fixture;
  fixture.PlaceAndPrefill(1);
  fixture.PlaceAndPrefill(2);
  fixture.Place(fixture.Request(3, Duration{}));
  CHECK(fixture.Told<PlacementQueued>() != nullptr);
}

// Load: the scheduler of a shard is replaced at the crest.
TEST(RelaySchedulers, ANewSchedulerDoesNotGiveAwayWhatIsHeld)
{
  Fixture fixture;
  PlacementsKept held;
  for (const std::uint64_t number : { 1, 2 }) {
    held.mKept.push_back(
      { fixture.Request(number, Milliseconds(900)), ServerName{ "d" } });
  }
  fixture.Do(Milliseconds(1), [&](Context& aContext) {
    fixture.mScheduler.Keep(aContext, kNode, held);
  });
  fixture.Place(fixture.Request(3, Duration{}));
  CHECK(fixture.Told<PlacementQueued>() != nullptr);
}

// Load: connections are reset, and the ends of placements are lost with them.
TEST(RelaySchedulers, PlacesWhoseEndWasLostComeBack)
{
  Fixture fixture;
  fixture.PlaceAndPrefill(1);
  fixture.PlaceAndPrefill(2);
  fixture.Place(fixture.Request(3, Duration{}));
  CHECK(fixture.Told<PlacementQueued>() != nullptr);
  // A list right after the placement may be older than its reply.
  fixture.Do(Milliseconds(1), [&](Context& aContext) {
    fixture.mScheduler.Keep(aContext, kNode, PlacementsKept{});
  });
  CHECK(fixture.Told<Placed>() == nullptr);
  fixture.Do(Milliseconds(1200), [&](Context& aContext) {
    fixture.mScheduler.Keep(aContext, kNode, PlacementsKept{});
  });
  // Late by now, it changes lanes before it gets the place.
  fixture.Tick(Milliseconds(20));
  CHECK(fixture.Told<Placed>() != nullptr);
}

// Load: callers that were sent back return into a crest in which all that
// becomes free goes to those that can still be in time. Without the crest they
// are kept: a server that is out may come back.
TEST(RelaySchedulers, WhatCannotBeServedIsNotHeldToItsDeadline)
{
  for (const bool isCrest : { true, false }) {
    Fixture fixture;
    fixture.PlaceAndPrefill(1);
    fixture.PlaceAndPrefill(2);
    constexpr std::uint64_t kWaiting = 10;
    constexpr std::uint64_t kFirst = 100;
    constexpr Duration kLeft = Milliseconds(1300);
    const Instant began = fixture.mNow;
    for (std::uint64_t n = 0; n < kWaiting; ++n) {
      PlaceRequest place = fixture.Request(kFirst + n, Milliseconds(1));
      place.mMayWait = true;
      place.mDeadline = fixture.mNow + kLeft;
      fixture.Place(place);
    }
    std::set<AttemptId> told;
    const auto note = [&] {
      for (const PeerMessage& message : fixture.mToSelf) {
        if (const auto* refused = std::get_if<PlacementRefused>(&message)) {
          told.insert(refused->mAttempt);
        }
      }
    };
    std::uint64_t newest = 2;
    while (fixture.mNow < began + kLeft * 3 / 4) {
      for (int tick = 0; tick < 5; ++tick) {
        fixture.Tick(Milliseconds(20));
        note();
      }
      if (!isCrest) {
        continue;
      }
      const AttemptId oldest{ kNode.mIncarnation, newest - 1 };
      fixture.Place(fixture.Request(++newest, Milliseconds(2000)));
      fixture.Do(Milliseconds(1), [&](Context& aContext) {
        fixture.mScheduler.On(
          aContext, kNode, PlacementEnded{ oldest, PlacementResult::kDone });
      });
      const auto* placed = fixture.Told<Placed>();
      CHECK(placed != nullptr && placed->mAttempt.mSequence == newest);
      fixture.Do(Milliseconds(1), [&](Context& aContext) {
        fixture.mScheduler.On(aContext,
                              kNode,
                              PlacementProgress{ placed->mAttempt,
                                                 PlacementStep::kPrefilled,
                                                 Milliseconds(50) });
      });
    }
    CHECK_EQUAL(isCrest ? kWaiting : 0, told.size());
  }
}

// The same, but places become free: nobody is sent away who can be served.
TEST(RelaySchedulers, WhatCanBeServedInTimeIsKept)
{
  Fixture fixture;
  fixture.PlaceAndPrefill(1);
  fixture.PlaceAndPrefill(2);
  for (int n = 0; n < 3; ++n) {
    PlaceRequest place = fixture.Request(10 + n, Milliseconds(1));
    place.mMayWait = true;
    place.mDeadline = fixture.mNow + Milliseconds(5000);
    fixture.Place(place);
  }
  std::vector<AttemptId> running{ { kNode.mIncarnation, 1 },
                                  { kNode.mIncarnation, 2 } };
  int placed = 0;
  const auto count = [&] {
    std::vector<AttemptId> now;
    for (const PeerMessage& message : fixture.mToSelf) {
      CHECK(!std::holds_alternative<PlacementRefused>(message));
      if (const auto* reply = std::get_if<Placed>(&message)) {
        now.push_back(reply->mAttempt);
      }
    }
    for (const AttemptId& attempt : now) {
      ++placed;
      running.push_back(attempt);
      fixture.Do(Milliseconds(100), [&](Context& aContext) {
        fixture.mScheduler.On(aContext,
                              kNode,
                              PlacementProgress{ attempt,
                                                 PlacementStep::kPrefilled,
                                                 Milliseconds(100) });
      });
    }
  };
  for (int n = 0; n < 3; ++n) {
    for (int tick = 0; tick < 25; ++tick) {
      fixture.Tick(Milliseconds(20));
      count();
    }
    fixture.Do(Milliseconds(1), [&](Context& aContext) {
      fixture.mScheduler.On(
        aContext, kNode, PlacementEnded{ running[n], PlacementResult::kDone });
    });
    count();
  }
  for (int tick = 0; tick < 10; ++tick) {
    fixture.Tick(Milliseconds(20));
    count();
  }
  CHECK_EQUAL(3, placed);
}
