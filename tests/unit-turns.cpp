#include <string>
#include <vector>

#include "heatherfork/detail/relay/stream_pace.h"
#include "heatherfork/detail/relay/turn_budget.h"
#include "heatherfork/detail/relay/turn_queue.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::relay;

namespace {

constexpr Instant kStart{ Milliseconds(5000) };
constexpr std::size_t kRate = 100000; // Bytes a second.

struct Ready
{
  TurnQueue::Key mKey;
  bool mWasLong;
};

struct QueueRow
{
  const char* mName;
  std::vector<Ready> mReady;
  std::vector<Duration> mUsed; ///< Before each turn; the last one repeats.
  std::vector<TurnQueue::Key> mServed; ///< In one round.
};

const QueueRow kQueueRows[] = {
  { "nothing is ready", {}, { Milliseconds(0) }, {} },
  { "in order of arrival",
    { { 1, false }, { 2, false }, { 3, false } },
    { Milliseconds(0) },
    { 1, 2, 3 } },
  { "long ones behind the others",
    { { 1, true }, { 2, false }, { 3, true }, { 4, false } },
    { Milliseconds(0) },
    { 2, 4, 1, 3 } },
  { "a round without time left serves one long one",
    { { 1, true }, { 2, true }, { 3, false } },
    { Milliseconds(0), kRoundTime },
    { 3, 1 } },
  { "short ones use all the time, one long one is served",
    { { 1, true }, { 2, false }, { 3, false } },
    { Milliseconds(0), kRoundTime },
    { 2, 1 } },
  { "long ones stop at the end of the round",
    { { 1, true }, { 2, true }, { 3, true } },
    { Milliseconds(0), Milliseconds(4), kRoundTime },
    { 1, 2 } },
};

struct BudgetRow
{
  const char* mName;
  std::size_t mBytes;
  Duration mElapsed;
  bool mIsSpent;
};

const BudgetRow kBudgetRows[] = {
  { "unused", 0, Milliseconds(0), false },
  { "some of both", 1000, kLongTurn / 2, false },
  { "all bytes", TurnBudget::kMaxBytes, Milliseconds(0), true },
  { "all the time", 1, kLongTurn, true },
};

struct Read
{
  std::size_t mBytes;
  int mEvents;
};

struct PaceRow
{
  const char* mName;
  Duration mInterval; ///< Between reads.
  int mReads;
  Read mRead;
  bool mIsPaused;
};

const PaceRow kPaceRows[] = {
  { "one event each 7 ms, for an hour",
    Milliseconds(7),
    514285,
    { 400, 1 },
    false },
  { "bursts of half the allowance each second",
    Milliseconds(1000),
    600,
    { kRate / 4, kRate / 4 / StreamPace::kEventCost },
    false },
  { "all of a second at once", Milliseconds(5000), 10, { kRate, 0 }, false },
  { "one large event once", Milliseconds(0), 1, { 90000, 1 }, false },
  { "bytes without end", Milliseconds(1), 2000, { 16384, 1 }, true },
  { "tiny events without end", Milliseconds(1), 2000, { 300, 100 }, true },
  { "a little faster than allowed",
    Milliseconds(10),
    200000,
    { kRate / 100 + 10, 0 },
    true },
};

} // namespace

TEST_GROUP(Turns){};

TEST(Turns, LongOnesWaitBehindTheOthersAndAreServed)
{
  for (const QueueRow& row : kQueueRows) {
    TurnQueue queue;
    for (const Ready& ready : row.mReady) {
      queue.Add(ready.mKey, ready.mWasLong);
    }
    queue.BeginRound();
    std::vector<TurnQueue::Key> served;
    const auto usedBefore = [&row](std::size_t aTurn) {
      return row.mUsed[std::min(aTurn, row.mUsed.size() - 1)];
    };
    while (const auto key = queue.TakeNext(usedBefore(served.size()))) {
      served.push_back(*key);
    }
    CHECK_TEXT(row.mServed == served, row.mName);
    CHECK_EQUAL_TEXT(
      served.size() == row.mReady.size(), queue.IsEmpty(), row.mName);
  }
}

// However many are long, each has its turn after as many rounds.
TEST(Turns, EachLongOneIsServedInTurn)
{
  constexpr TurnQueue::Key kLongOnes = 5;
  TurnQueue queue;
  for (TurnQueue::Key key = 0; key < kLongOnes; ++key) {
    queue.Add(key, true);
  }
  std::vector<int> turns(kLongOnes);
  for (TurnQueue::Key round = 0; round < 3 * kLongOnes; ++round) {
    queue.BeginRound();
    while (const auto key = queue.TakeNext(kRoundTime)) {
      ++turns[*key];
      queue.Add(*key, true);
    }
  }
  for (const int count : turns) {
    CHECK_EQUAL(3, count);
  }
}

TEST(Turns, ATurnEndsByBytesOrTime)
{
  for (const BudgetRow& row : kBudgetRows) {
    TurnBudget budget(kStart);
    budget.Spend(row.mBytes);
    CHECK_EQUAL_TEXT(
      row.mIsSpent, budget.IsSpent(kStart + row.mElapsed), row.mName);
  }
}

TEST(Turns, OnlyAStreamAboveItsRateForLongIsPaused)
{
  for (const PaceRow& row : kPaceRows) {
    StreamPace pace(kRate);
    Instant now = kStart;
    bool isPaused = false;
    for (int n = 0; n < row.mReads; ++n) {
      pace.Spend(row.mRead.mBytes, row.mRead.mEvents, now);
      isPaused = isPaused || !pace.MayRead(now);
      now += row.mInterval;
    }
    CHECK_EQUAL_TEXT(row.mIsPaused, isPaused, row.mName);
  }
}

TEST(Turns, APausedStreamIsReadAgainAtItsRate)
{
  constexpr int kSeconds = 100;
  constexpr std::size_t kReadBytes = 16384;
  StreamPace pace(kRate);
  std::size_t bytes = 0;
  for (Instant now = kStart; now < kStart + kSeconds * Milliseconds(1000);
       now += Milliseconds(20)) {
    while (pace.MayRead(now)) {
      pace.Spend(kReadBytes, 0, now);
      bytes += kReadBytes;
    }
  }
  CHECK(bytes >= kSeconds * kRate);
  CHECK(bytes <= (kSeconds + 1) * kRate + kReadBytes);
}
