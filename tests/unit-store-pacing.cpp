#include "heatherfork/detail/relay/store_pacing.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using relay::StorePace;
using relay::StorePacing;

namespace {

constexpr Instant kStart{ Milliseconds(1000000) };

StorePace
SamplePace()
{
  StorePace pace;
  pace.mPause = Milliseconds(250);
  pace.mWait = Milliseconds(500);
  pace.mTimeout = Milliseconds(800);
  pace.mFresh = Milliseconds(1000);
  return pace;
}

StorePacing
Sample(bool aReadsForOthers)
{
  StorePacing pacing(SamplePace(), kStart, 1);
  pacing.SetReadsForOthers(aReadsForOthers);
  return pacing;
}

} // namespace

TEST_GROUP(StorePacing){};

// Load: thousands of entries come in pages, and others read for this node.
TEST(StorePacing, AReadingUnderWayGoesOnAtOnce)
{
  for (const bool reads : { true, false }) {
    StorePacing pacing = Sample(reads);
    CHECK(pacing.IsDue(kStart, false));
    Instant now = kStart;
    for (int page = 0; page < 11; ++page) {
      now += Milliseconds(5);
      pacing.OnPage(now);
      CHECK(pacing.IsDue(now, false));
    }
  }
}

TEST(StorePacing, AReaderGoesOnAfterItsPause)
{
  StorePacing pacing = Sample(true);
  pacing.OnWatched(kStart);
  CHECK_FALSE(pacing.IsDue(kStart + Milliseconds(249), true));
  CHECK(pacing.IsDue(kStart + Milliseconds(250), true));
  CHECK(pacing.Wait() == Milliseconds(500));
}

TEST(StorePacing, OneThatIsToldAsksOnlyInSilence)
{
  StorePacing pacing = Sample(false);
  Instant now = kStart;
  for (int news = 0; news < 10; ++news) {
    now += Milliseconds(999);
    CHECK_FALSE(pacing.IsDue(now, true));
    pacing.OnTold(now);
  }
  now += Milliseconds(1000);
  CHECK(pacing.IsDue(now, true));
  CHECK(pacing.Wait() == Duration{});
  // Its own answer is as good as news.
  pacing.OnWatched(now);
  CHECK_FALSE(pacing.IsDue(now + Milliseconds(999), true));
  CHECK(pacing.IsDue(now + Milliseconds(1000), true));
}

// Load: the store is lost for all nodes at once.
TEST(StorePacing, FailuresAreRetriedLessAndLessOften)
{
  StorePacing pacing = Sample(true);
  Instant now = kStart;
  for (const int most : { 250, 500, 1000, 1500, 1500 }) {
    pacing.OnFailed(now);
    CHECK_FALSE(pacing.IsDue(now + Milliseconds(most / 2 - 1), false));
    CHECK(pacing.IsDue(now + Milliseconds(most), false));
    now += Milliseconds(most);
  }
  pacing.OnPage(now);
  CHECK_EQUAL(0, pacing.Failures());
}

// Load: the store is back, and entries that lapsed with it are not yet.
TEST(StorePacing, OthersAreToldOnceTheStoreHasAnsweredForAWhile)
{
  struct Row
  {
    const char* mName;
    bool mReads;
    bool mFailsBefore;
    int mAnsweredFor; ///< Milliseconds.
    bool mMayTell;
  };
  const Row kRows[] = {
    { "at once", true, false, 0, false },
    { "entries not back", true, false, 2000, false },
    { "settled", true, false, 3001, true },
    { "reads for itself", false, false, 3001, false },
    { "failed since", true, true, 2000, false },
  };
  for (const Row& row : kRows) {
    StorePacing pacing = Sample(row.mReads);
    Instant now = kStart;
    if (row.mFailsBefore) {
      pacing.OnWatched(now);
      now += Milliseconds(4000);
      pacing.OnFailed(now);
      CHECK_FALSE_TEXT(pacing.MayTell(now), row.mName);
    }
    pacing.OnWatched(now);
    now += Milliseconds(row.mAnsweredFor);
    pacing.OnWatched(now);
    CHECK_TEXT(pacing.MayTell(now) == row.mMayTell, row.mName);
  }
}
