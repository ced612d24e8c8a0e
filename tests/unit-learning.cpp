#include "heatherfork/detail/scheduling/linear_fit.h"
#include "heatherfork/detail/scheduling/prefix_hints.h"
#include "scheduler_fixture.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::detail;

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
