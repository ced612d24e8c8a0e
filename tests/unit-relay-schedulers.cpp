#include "relay_scheduler.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

TEST_GROUP(RelaySchedulers){};

// A burst fills the memory of all decode replicas.
TEST(RelaySchedulers, RefusesRequestThatCannotMeetItsTarget)
{
  RelaySchedulerFixture fixture;
  fixture.PlaceAndPrefill(1);
  fixture.PlaceAndPrefill(2);
  // No capacity is free now or before the target.
  fixture.Place(fixture.MakeRequest(3, Milliseconds(60)));
  const auto* refused = fixture.FindSent<PlacementRefused>();
  CHECK(refused != nullptr);
  CHECK(refused->mDelay > Duration{});
  CHECK(refused->mDelay <= Milliseconds(3000));
  // The retry is queued.
  fixture.Place(fixture.MakeRequest(3, Milliseconds(1)));
  CHECK(fixture.FindSent<PlacementQueued>() != nullptr);
}

TEST(RelaySchedulers, QueuesRequestWithoutOwnTarget)
{
  RelaySchedulerFixture fixture;
  fixture.PlaceAndPrefill(1);
  fixture.PlaceAndPrefill(2);
  fixture.Place(fixture.MakeRequest(3, Duration{}));
  CHECK(fixture.FindSent<PlacementQueued>() != nullptr);
}

// The scheduler of a shard changes under peak load. The new one must not assign
// capacity that running requests hold.
TEST(RelaySchedulers, NewSchedulerCountsAdoptedPlacements)
{
  RelaySchedulerFixture fixture;
  PlacementsKept held;
  for (const std::uint64_t number : { 1, 2 }) {
    held.mKept.push_back(
      { fixture.MakeRequest(number, Milliseconds(900)), ServerName{ "d" } });
  }
  fixture.RunWith(Milliseconds(1), [&](Context& aContext) {
    fixture.mScheduler.AdoptPlacements(aContext, kEntryNode, held);
  });
  fixture.Place(fixture.MakeRequest(3, Duration{}));
  CHECK(fixture.FindSent<PlacementQueued>() != nullptr);
}

// End messages are lost when connections are reset. The placements are released
// once their node no longer reports them.
TEST(RelaySchedulers, ReleasesPlacementsWhoseEndWasLost)
{
  RelaySchedulerFixture fixture;
  fixture.PlaceAndPrefill(1);
  fixture.PlaceAndPrefill(2);
  fixture.Place(fixture.MakeRequest(3, Duration{}));
  CHECK(fixture.FindSent<PlacementQueued>() != nullptr);
  // A report shortly after the placement may be older than the reply.
  fixture.RunWith(Milliseconds(1), [&](Context& aContext) {
    fixture.mScheduler.AdoptPlacements(aContext, kEntryNode, PlacementsKept{});
  });
  CHECK(fixture.FindSent<Placed>() == nullptr);
  fixture.RunWith(Milliseconds(1200), [&](Context& aContext) {
    fixture.mScheduler.AdoptPlacements(aContext, kEntryNode, PlacementsKept{});
  });
  // The request is late and changes lanes before it is placed.
  fixture.Tick(Milliseconds(20));
  CHECK(fixture.FindSent<Placed>() != nullptr);
}

// Callers retry while capacity becomes free: no request that can be served is
// refused.
TEST(RelaySchedulers, KeepsQueuedRequestsThatCanBeServed)
{
  RelaySchedulerFixture fixture;
  fixture.PlaceAndPrefill(1);
  fixture.PlaceAndPrefill(2);
  for (int n = 0; n < 3; ++n) {
    PlaceRequest place = fixture.MakeRequest(10 + n, Milliseconds(1));
    place.mMayWait = true;
    place.mDeadline = fixture.mNow + Milliseconds(5000);
    fixture.Place(place);
  }
  std::vector<AttemptId> running{ { kEntryNode.mIncarnation, 1 },
                                  { kEntryNode.mIncarnation, 2 } };
  int placed = 0;
  const auto processReplies = [&] {
    std::vector<AttemptId> placedAttempts;
    for (const PeerMessage& message : fixture.mToSelf) {
      CHECK(!std::holds_alternative<PlacementRefused>(message));
      if (const auto* reply = std::get_if<Placed>(&message)) {
        placedAttempts.push_back(reply->mAttempt);
      }
    }
    for (const AttemptId& attempt : placedAttempts) {
      ++placed;
      running.push_back(attempt);
      fixture.RunWith(Milliseconds(100), [&](Context& aContext) {
        fixture.mScheduler.On(aContext,
                              kEntryNode,
                              PlacementProgress{ attempt,
                                                 PlacementStep::kPrefilled,
                                                 Milliseconds(100) });
      });
    }
  };
  for (int n = 0; n < 3; ++n) {
    for (int tick = 0; tick < 25; ++tick) {
      fixture.Tick(Milliseconds(20));
      processReplies();
    }
    fixture.RunWith(Milliseconds(1), [&](Context& aContext) {
      fixture.mScheduler.On(
        aContext,
        kEntryNode,
        PlacementEnded{ running[n], PlacementResult::kDone });
    });
    processReplies();
  }
  for (int tick = 0; tick < 10; ++tick) {
    fixture.Tick(Milliseconds(20));
    processReplies();
  }
  CHECK_EQUAL(3, placed);
}
