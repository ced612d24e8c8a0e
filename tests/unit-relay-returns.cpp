#include "relay_scheduler.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

TEST_GROUP(RelayReturns){};

// Load: callers that were sent back return into a crest in which all that
// becomes free goes to those that can still be in time. Without the crest they
// are kept: a server that is out may come back.
TEST(RelayReturns, WhatCannotBeServedIsNotHeldToItsDeadline)
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
