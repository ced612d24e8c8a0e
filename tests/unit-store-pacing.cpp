#include "heatherfork/detail/relay/store_pacing.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using relay::StorePace;
using relay::StorePacing;

namespace {

constexpr Instant kStart{ Milliseconds(1000000) };

StorePace
MakePace()
{
  StorePace pace;
  pace.mPause = Milliseconds(250);
  pace.mWait = Milliseconds(500);
  pace.mTimeout = Milliseconds(800);
  pace.mPeerUpdateLifetime = Milliseconds(1000);
  return pace;
}

StorePacing
MakePacing(bool aReadsForOthers)
{
  StorePacing pacing(MakePace(), kStart, 1);
  pacing.SetReadsForOthers(aReadsForOthers);
  return pacing;
}

} // namespace

TEST_GROUP(StorePacing){};

// Thousands of entries arrive in pages. Updates from peers can't replace the
// missing pages.
TEST(StorePacing, ReadsNextPageWithoutPause)
{
  for (const bool readsForOthers : { true, false }) {
    StorePacing pacing = MakePacing(readsForOthers);
    CHECK(pacing.IsDue(kStart, false));
    Instant now = kStart;
    for (int page = 0; page < 11; ++page) {
      now += Milliseconds(5);
      pacing.OnPage(now);
      CHECK(pacing.IsDue(now, false));
    }
  }
}

TEST(StorePacing, ReaderWatchesAgainAfterPause)
{
  StorePacing pacing = MakePacing(true);
  pacing.OnWatchAnswer(kStart);
  CHECK_FALSE(pacing.IsDue(kStart + Milliseconds(249), true));
  CHECK(pacing.IsDue(kStart + Milliseconds(250), true));
  CHECK(pacing.WatchWait() == Milliseconds(500));
}

TEST(StorePacing, NonReaderCallsStoreOnlyWithoutPeerUpdates)
{
  StorePacing pacing = MakePacing(false);
  Instant now = kStart;
  for (int update = 0; update < 10; ++update) {
    now += Milliseconds(999);
    CHECK_FALSE(pacing.IsDue(now, true));
    pacing.OnPeerUpdate(now);
  }
  now += Milliseconds(1000);
  CHECK(pacing.IsDue(now, true));
  CHECK(pacing.WatchWait() == Duration{});
  // The node's own answer counts like a peer's update.
  pacing.OnWatchAnswer(now);
  CHECK_FALSE(pacing.IsDue(now + Milliseconds(999), true));
  CHECK(pacing.IsDue(now + Milliseconds(1000), true));
}

// All nodes lose the store at the same time and must not overload it.
TEST(StorePacing, BacksOffAfterRepeatedFailures)
{
  StorePacing pacing = MakePacing(true);
  Instant now = kStart;
  for (const int maxDelayMs : { 250, 500, 1000, 1500, 1500 }) {
    pacing.OnFailed(now);
    CHECK_FALSE(pacing.IsDue(now + Milliseconds(maxDelayMs / 2 - 1), false));
    CHECK(pacing.IsDue(now + Milliseconds(maxDelayMs), false));
    now += Milliseconds(maxDelayMs);
  }
  pacing.OnRangeRead(now);
  CHECK_EQUAL(0, pacing.Failures());
}

// The first page of a list may be answered and the next one refused, again and
// again.
TEST(StorePacing, BacksOffWhenALaterPageFails)
{
  StorePacing pacing = MakePacing(true);
  Instant now = kStart;
  for (const int maxDelayMs : { 250, 500, 1000, 1500, 1500 }) {
    pacing.OnPage(now);
    pacing.OnFailed(now);
    CHECK_FALSE(pacing.IsDue(now + Milliseconds(maxDelayMs / 2 - 1), false));
    CHECK(pacing.IsDue(now + Milliseconds(maxDelayMs), false));
    now += Milliseconds(maxDelayMs);
  }
}

// A store that keeps no history answers each range and refuses each watch.
TEST(StorePacing, BacksOffWhenWatchesAreRefusedAgain)
{
  StorePacing pacing = MakePacing(true);
  Instant now = kStart;
  for (int series = 0; series < 2; ++series) {
    for (const int maxDelayMs : { 0, 250, 500, 1000, 1500, 1500 }) {
      pacing.OnRestart(now);
      const Instant earliest = now + Milliseconds(maxDelayMs / 2);
      CHECK_FALSE(pacing.IsDue(earliest - Milliseconds(1), false));
      CHECK(pacing.IsDue(now + Milliseconds(maxDelayMs), false));
      now += Milliseconds(maxDelayMs);
      pacing.OnPage(now);
      pacing.OnRangeRead(now);
    }
    pacing.OnWatchAnswer(now);
  }
}

// After a store outage expired entries are missing until they are written
// again. Peers must not drop them meanwhile.
TEST(StorePacing, UpdatesPeersOnlyAfterStoreIsStable)
{
  struct Row
  {
    const char* mName;
    bool mReadsForOthers;
    bool mFailsBefore;
    int mAnsweredForMs;
    bool mCanUpdatePeers;
  };
  const Row kRows[] = {
    { "first answers", true, false, 0, false },
    { "expired entries still missing", true, false, 2000, false },
    { "stable", true, false, 3001, true },
    { "does not read for others", false, false, 3001, false },
    { "recent failure", true, true, 2000, false },
  };
  for (const Row& row : kRows) {
    StorePacing pacing = MakePacing(row.mReadsForOthers);
    Instant now = kStart;
    if (row.mFailsBefore) {
      pacing.OnWatchAnswer(now);
      now += Milliseconds(4000);
      pacing.OnFailed(now);
      CHECK_FALSE_TEXT(pacing.CanUpdatePeers(now), row.mName);
    }
    pacing.OnWatchAnswer(now);
    now += Milliseconds(row.mAnsweredForMs);
    pacing.OnWatchAnswer(now);
    CHECK_TEXT(pacing.CanUpdatePeers(now) == row.mCanUpdatePeers, row.mName);
  }
}

// Updates from peers say nothing about when the store wrote them.
TEST(StorePacing, NonReaderCallsStoreForConfirmation)
{
  StorePacing pacing = MakePacing(false);
  pacing.OnPeerUpdate(kStart);
  CHECK_FALSE(pacing.IsDue(kStart, true));
  pacing.SetNeedsConfirmation(true);
  CHECK(pacing.IsDue(kStart, true));
  pacing.OnFailed(kStart);
  CHECK_FALSE(pacing.IsDue(kStart, true));
  pacing.SetNeedsConfirmation(false);
  pacing.OnWatchAnswer(kStart);
  CHECK_FALSE(pacing.IsDue(kStart + Milliseconds(999), true));
}
