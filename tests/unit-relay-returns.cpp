#include "relay_scheduler.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

TEST_GROUP(RelayReturns){};

// Under overload, released capacity goes to requests that can still meet their
// target. Retries that cannot be served then must be refused before their
// deadline. Without overload they stay queued, because an unavailable server
// may recover.
TEST(RelayReturns, RefusesUnservableRequestBeforeDeadline)
{
  for (const bool isOverloaded : { true, false }) {
    RelaySchedulerFixture fixture;
    fixture.PlaceAndPrefill(1);
    fixture.PlaceAndPrefill(2);
    constexpr std::uint64_t kRequests = 10;
    constexpr std::uint64_t kFirstNumber = 100;
    constexpr Duration kTimeLeft = Milliseconds(1300);
    const Instant startedAt = fixture.mNow;
    for (std::uint64_t n = 0; n < kRequests; ++n) {
      PlaceRequest place =
        fixture.MakeRequest(kFirstNumber + n, Milliseconds(1));
      place.mMayWait = true;
      place.mDeadline = fixture.mNow + kTimeLeft;
      fixture.Place(place);
    }
    std::set<AttemptId> refusedAttempts;
    const auto collectRefusals = [&] {
      for (const PeerMessage& message : fixture.mToSelf) {
        if (const auto* refused = std::get_if<PlacementRefused>(&message)) {
          refusedAttempts.insert(refused->mAttempt);
        }
      }
    };
    std::uint64_t newest = 2;
    while (fixture.mNow < startedAt + kTimeLeft * 3 / 4) {
      for (int tick = 0; tick < 5; ++tick) {
        fixture.Tick(Milliseconds(20));
        collectRefusals();
      }
      if (!isOverloaded) {
        continue;
      }
      const AttemptId oldest{ kEntryNode.mIncarnation, newest - 1 };
      fixture.Place(fixture.MakeRequest(++newest, Milliseconds(2000)));
      fixture.RunWith(Milliseconds(1), [&](Context& aContext) {
        fixture.mScheduler.On(aContext,
                              kEntryNode,
                              PlacementEnded{ oldest, PlacementResult::kDone });
      });
      const auto* placed = fixture.FindSent<Placed>();
      CHECK(placed != nullptr && placed->mAttempt.mSequence == newest);
      fixture.RunWith(Milliseconds(1), [&](Context& aContext) {
        fixture.mScheduler.On(aContext,
                              kEntryNode,
                              PlacementProgress{ placed->mAttempt,
                                                 PlacementStep::kPrefilled,
                                                 Milliseconds(50) });
      });
    }
    CHECK_EQUAL(isOverloaded ? kRequests : 0, refusedAttempts.size());
  }
}
