#include "heatherfork/detail/relay/body_intake.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using relay::BodyId;
using relay::BodyIntake;
using relay::DivideMemory;
using relay::kMaxSmallBodyBytes;
using relay::MemoryShares;

namespace {

using State = BodyIntake::State;

constexpr std::size_t kMebibyte = std::size_t{ 1 } << 20;
constexpr Instant kStart{ Milliseconds(1000000) };
constexpr Duration kPatience = Milliseconds(700);
constexpr std::size_t kEnough = kMebibyte + kMebibyte / 2;

MemoryShares
Shares(std::size_t aSmall, std::size_t aLarge)
{
  MemoryShares shares;
  shares.mSmallBodies = aSmall;
  shares.mLargeBodies = aLarge;
  return shares;
}

/// An intake with room for two large bodies of a mebibyte.
class Crowd
{
public:
  State Ask(std::size_t aBytes, Instant aNow = kStart)
  {
    mLast = mIntake.Begin();
    return mIntake.Ask(mLast, aBytes, kPatience, aNow);
  }

  BodyIntake mIntake{ Shares(4 * kMaxSmallBodyBytes, 2 * kMebibyte) };
  BodyId mLast = 0;
};

} // namespace

TEST_GROUP(NodeMemory){};

TEST(NodeMemory, PartsLeaveRoomForTheProcess)
{
  struct Row
  {
    std::size_t mMachineMb;
    std::size_t mMaxSumMb;
  };
  const Row kRows[] = {
    { 16, 3 }, { 32, 6 }, { 88, 48 }, { 110, 65 }, { 256, 174 }
  };
  for (const Row& row : kRows) {
    const MemoryShares shares = DivideMemory(row.mMachineMb * kMebibyte);
    const std::size_t sum =
      shares.mSmallBodies + shares.mLargeBodies + shares.mAnswers;
    CHECK(sum <= row.mMaxSumMb * kMebibyte);
    CHECK(shares.mSmallBodies >= kMebibyte / 4);
    CHECK(shares.mLargeBodies >= shares.mSmallBodies);
  }
}

TEST(NodeMemory, HalfOfTheSocketsLeavesOneToAReplicaForEachCaller)
{
  struct Row
  {
    std::size_t mProcess;
    std::size_t mLoop;
  };
  for (const Row& row :
       { Row{ 100, 0 }, Row{ 200, 0 }, Row{ 400, 100 }, Row{ 4100, 1950 } }) {
    CHECK_EQUAL(row.mLoop, relay::MaxLoopDescriptors(row.mProcess));
  }
}

TEST(NodeMemory, GrantsWhatFits)
{
  struct Row
  {
    const char* mName;
    std::size_t mHeld; ///< Size of the bodies before.
    int mCount;
    std::size_t mAsked;
    State mState;
  };
  const Row kRows[] = {
    { "the first, of any size", 0, 0, 64 * kMebibyte, State::kReading },
    { "the second large one", kMebibyte, 1, kMebibyte, State::kReading },
    { "the third large one", kMebibyte, 2, kMebibyte, State::kWaiting },
    { "too large beside another",
      kMebibyte,
      1,
      2 * kMebibyte,
      State::kWaiting },
    { "small beside full large ones", kMebibyte, 2, 100, State::kReading },
    { "small ones, twice each", kMaxSmallBodyBytes, 2, 100, State::kReading },
    { "large, the small part is full",
      kMaxSmallBodyBytes,
      2,
      kMebibyte,
      State::kReading },
  };
  for (const Row& row : kRows) {
    Crowd crowd;
    for (int n = 0; n < row.mCount; ++n) {
      CHECK_TEXT(crowd.Ask(row.mHeld) == State::kReading, row.mName);
    }
    CHECK_TEXT(crowd.Ask(row.mAsked) == row.mState, row.mName);
  }
}

TEST(NodeMemory, NothingIsHeldAfterTheEnds)
{
  Crowd crowd;
  for (const std::size_t size :
       { std::size_t{ 1 }, kMaxSmallBodyBytes, kMebibyte, 8 * kMebibyte }) {
    for (int n = 0; n < 8; ++n) {
      crowd.Ask(size);
    }
  }
  crowd.mIntake.Complete(3, 1);
  crowd.mIntake.OnTimer(kStart + 3 * kPatience);
  for (BodyId id = 1; id <= crowd.mLast; ++id) {
    crowd.mIntake.End(id);
  }
  CHECK_EQUAL(0U, crowd.mIntake.SmallBytes());
  CHECK_EQUAL(0U, crowd.mIntake.LargeBytes());
  CHECK_EQUAL(0U, crowd.mIntake.Waiting());
}

// Room that is given back goes to who needs least, then to who came first.
TEST(NodeMemory, GrantsFreedRoomInOrder)
{
  Crowd crowd;
  crowd.Ask(2 * kMebibyte);
  const BodyId first = crowd.mLast;
  crowd.Ask(2 * kMebibyte);
  const BodyId largest = crowd.mLast;
  crowd.Ask(kMebibyte);
  const BodyId early = crowd.mLast;
  crowd.Ask(kMebibyte);
  const BodyId late = crowd.mLast;
  crowd.Ask(kMebibyte);
  const BodyId latest = crowd.mLast;
  CHECK_EQUAL(4U, crowd.mIntake.Waiting());
  crowd.mIntake.End(first);
  crowd.mIntake.OnTimer(kStart);
  CHECK(crowd.mIntake.StateOf(early) == State::kReading);
  CHECK(crowd.mIntake.StateOf(late) == State::kReading);
  CHECK(crowd.mIntake.StateOf(latest) == State::kWaiting);
  CHECK(crowd.mIntake.StateOf(largest) == State::kWaiting);
}

TEST(NodeMemory, DropsWhoHoldsUpOthers)
{
  struct Row
  {
    const char* mName;
    std::size_t mReceived;
    Duration mSilence; ///< Since bytes arrived last.
    bool mOthersWait;
    int mPatiences; ///< Time since the grant, in halves of the patience.
    State mState;
  };
  const Row kRows[] = {
    { "nothing came", 0, {}, true, 3, State::kDropped },
    { "nothing came, but soon", 0, {}, true, 1, State::kReading },
    { "nobody waits", 0, {}, false, 100, State::kReading },
    { "too slow", kMebibyte / 2, {}, true, 3, State::kDropped },
    { "complete in time at its pace", kEnough, {}, true, 3, State::kReading },
    { "a byte short of its end, for long",
      2 * kMebibyte - 1,
      kPatience + Milliseconds(1),
      true,
      3,
      State::kDropped },
  };
  for (const Row& row : kRows) {
    Crowd crowd;
    crowd.Ask(2 * kMebibyte);
    const BodyId slow = crowd.mLast;
    const Instant now = kStart + row.mPatiences * kPatience / 2;
    crowd.mIntake.Receive(slow, row.mReceived, now - row.mSilence);
    if (row.mOthersWait) {
      crowd.Ask(kMebibyte);
    }
    crowd.mIntake.OnTimer(now);
    CHECK_TEXT(crowd.mIntake.StateOf(slow) == row.mState, row.mName);
  }
}

TEST(NodeMemory, CompleteBodyIsNeverDroppedAndKeepsItsOwnSizeOnly)
{
  Crowd crowd;
  crowd.Ask(2 * kMebibyte);
  const BodyId complete = crowd.mLast;
  crowd.mIntake.Complete(complete, kMebibyte);
  CHECK(crowd.Ask(kMebibyte) == State::kReading);
  CHECK(crowd.Ask(kMebibyte) == State::kWaiting);
  crowd.mIntake.OnTimer(kStart + 100 * kPatience);
  CHECK(crowd.mIntake.StateOf(complete) == State::kReading);
}

TEST(NodeMemory, RefusesWhoHasWaitedForTwicePatience)
{
  struct Row
  {
    Duration mWaited;
    State mState;
  };
  const Row kRows[] = { { 2 * kPatience, State::kWaiting },
                        { 2 * kPatience + Milliseconds(1), State::kRefused } };
  for (const Row& row : kRows) {
    Crowd crowd;
    crowd.Ask(2 * kMebibyte);
    crowd.mIntake.Complete(crowd.mLast, 2 * kMebibyte);
    crowd.Ask(kMebibyte);
    crowd.mIntake.OnTimer(kStart + row.mWaited);
    CHECK(crowd.mIntake.StateOf(crowd.mLast) == row.mState);
    CHECK_EQUAL(row.mState == State::kWaiting ? 1U : 0U,
                crowd.mIntake.Waiting());
  }
}

// Bodies in chunks that wait for more room still hold what has arrived.
TEST(NodeMemory, GrownBodiesWaitOnlyAsFarAsTheirBytesFit)
{
  Crowd crowd;
  crowd.Ask(kMebibyte);
  crowd.Ask(kMebibyte);
  // The part for small bodies is as large as four of these.
  const State expected[] = {
    State::kWaiting, State::kWaiting, State::kWaiting,
    State::kWaiting, State::kRefused, State::kRefused
  };
  BodyId first = 0;
  for (const State state : expected) {
    const BodyId id = crowd.mIntake.Begin();
    first = first == 0 ? id : first;
    crowd.mIntake.Ask(id, 100, kPatience, kStart);
    crowd.mIntake.Receive(id, kMaxSmallBodyBytes, kStart);
    CHECK(state == crowd.mIntake.Ask(id, kMebibyte, kPatience, kStart));
  }
  crowd.mIntake.End(first);
  const BodyId next = crowd.mIntake.Begin();
  crowd.mIntake.Ask(next, 100, kPatience, kStart);
  crowd.mIntake.Receive(next, kMaxSmallBodyBytes, kStart);
  CHECK(State::kWaiting ==
        crowd.mIntake.Ask(next, kMebibyte, kPatience, kStart));
}
