#include "relay_scheduler.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

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

// Load: callers return, and places become free: nobody is sent away who can be
// served.
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
