#include "room_policies.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

constexpr double kNearly = 0.95; ///< Of the all-knowing plan.

} // namespace

TEST_GROUP(RoomTargets){};

// Work or servers differ, so an all-knowing plan has more to choose from.
TEST(RoomTargets, InTargetNearlyAsOftenAsAnAllKnowingPlan)
{
  for (const char* name : { "long and short", "uneven servers" }) {
    Result best;
    Result ours;
    for (const unsigned seed : kSeeds) {
      for (const Load& load : MakeLoads(seed)) {
        if (load.mName == std::string(name)) {
          Add(best, name, "all-knowing", AllKnowing::Best(load));
          Add(ours, name, "ours", Ours(load).Run());
        }
      }
    }
    CHECK_TEXT(ours.mInTarget >= kNearly * best.mInTarget, name);
  }
}
