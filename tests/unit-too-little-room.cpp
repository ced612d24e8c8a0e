#include "room_policies.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

constexpr double kNearly = 0.95; ///< Of the all-knowing plan.
constexpr double kAsMany = 0.98; ///< Of the order by latest start.

} // namespace

TEST_GROUP(TooLittleRoom){};

// The measure is the better of two plans that know all that will come. Sums
// over the seeds, as single answers are worth more than the margin.
TEST(TooLittleRoom, AnswersNearlyAsManyAsAnAllKnowingPlan)
{
  const std::size_t loads = MakeLoads(kSeeds[0]).size();
  for (std::size_t n = 0; n < loads; ++n) {
    Result best;
    Result latest;
    Result ours;
    std::string name;
    for (const unsigned seed : kSeeds) {
      const Load load = MakeLoads(seed)[n];
      name = load.mName;
      const auto target = [](const Arrival& aOne) { return aOne.mWantedAt; };
      const auto arrival = [](const Arrival& aOne) { return aOne.mAt; };
      const auto start = [](const Arrival& aOne) {
        return aOne.mDeadline - aOne.mWork;
      };
      Print(load.mName, "by target", RunInOrder(load, target));
      Print(load.mName, "first come", RunInOrder(load, arrival));
      Add(latest, load.mName, "latest start", RunInOrder(load, start));
      Add(best, load.mName, "all-knowing", AllKnowing::Best(load));
      Add(ours, load.mName, "ours", Ours(load).Run());
    }
    const auto isNearly = [](int aOurs, double aPart, int aOther) {
      return aOurs >= aPart * aOther;
    };
    CHECK_TEXT(isNearly(ours.mServed, kNearly, best.mServed),
               (name + ": served").c_str());
    // unit-room-targets has those that are left out here.
    CHECK_TEXT(name == "long and short" || name == "uneven servers" ||
                 isNearly(ours.mInTarget, kNearly, best.mInTarget),
               (name + ": in target").c_str());
    CHECK_TEXT(isNearly(ours.mServed, kAsMany, latest.mServed),
               (name + ": served by latest start").c_str());
    CHECK_TEXT(name != "two ranks" ||
                 isNearly(ours.mHighServed, kAsMany, best.mHighServed),
               "of the higher rank");
  }
}

// No target may change how many are answered.
TEST(TooLittleRoom, TargetsChangeNoCountOfServedCallers)
{
  for (const unsigned seed : kSeeds) {
    const std::vector<Load> some = MakeLoads(seed, 900);
    const std::vector<Load> more = MakeLoads(seed, 2700);
    for (std::size_t n = 0; n < some.size(); ++n) {
      const int one = Ours(some[n]).Run().mServed;
      const int other = Ours(more[n]).Run().mServed;
      CHECK_TEXT(std::abs(one - other) * 20 <= std::max(one, other),
                 some[n].mName);
    }
  }
}

// The share of the other workspace is served whole beside one that sends five
// times what its own share can take.
TEST(TooLittleRoom, SharesHold)
{
  for (const unsigned seed : kSeeds) {
    const Load load = MakeLoads(seed)[4];
    const auto other = std::count_if(
      load.mArrivals.begin(), load.mArrivals.end(), [](const Arrival& aOne) {
        return aOne.mWorkspace != "one";
      });
    CHECK(Ours(load).Run().mOtherServed >=
          kNearly * static_cast<double>(other));
  }
}

// Short work alone would fill the server; long work gets its turn beside it.
TEST(TooLittleRoom, LongWorkGetsItsTurn)
{
  for (const unsigned seed : kSeeds) {
    const Load load{
      "long work beside too much short work",
      MakeArrivals(
        seed,
        { { Milliseconds(0), Milliseconds(20000), 40, Like(1500, 900, 100) },
          { Milliseconds(0),
            Milliseconds(20000),
            1,
            Like(6000, 3000, 1000) } }),
      { 1, 1 },
      true
    };
    const Result ours = Ours(load).Run();
    Print("long beside", "ours", ours);
    // Two servers for 20 s, one part in twenty of it, 1 s each.
    CHECK(ours.mLongServed >= 2);
  }
}
