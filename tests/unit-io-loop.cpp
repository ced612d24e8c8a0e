#include "heatherfork/detail/relay/io_loop.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::relay;

namespace {

class CountingHandler final : public IoHandler
{
public:
  explicit CountingHandler(bool aThrows)
    : mThrows(aThrows)
  {
  }
  void OnIo(bool, bool, bool) override
  {
    ++mCalls;
    if (mThrows) {
      throw std::runtime_error("a message that no one expected");
    }
  }

  void OnFault() override { ++mFaults; }

  int mCalls = 0;
  int mFaults = 0;

private:
  bool mThrows;
};

/// Records its calls; each takes as long as asked for.
class TimedHandler final : public IoHandler
{
public:
  TimedHandler(char aName, Duration aTakes, std::string& aCalls)
    : mName(aName)
    , mTakes(aTakes)
    , mCalls(aCalls)
  {
  }
  void OnIo(bool, bool, bool) override
  {
    mCalls += mName;
    for (const Instant end = SteadyNow() + mTakes; SteadyNow() < end;) {
    }
  }
  void OnFault() override {}

private:
  char mName;
  Duration mTakes;
  std::string& mCalls;
};

class Pair
{
public:
  Pair() { socketpair(AF_UNIX, SOCK_STREAM, 0, mEnds.data()); }
  ~Pair()
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }
  int ReadableEnd() const
  {
    const char byte = 'a';
    CHECK_EQUAL(1, write(mEnds[1], &byte, 1));
    return mEnds[0];
  }

private:
  std::array<int, 2> mEnds{};
};

} // namespace

TEST_GROUP(IoLoop){};

TEST(IoLoop, GoesOnWhenAHandlerOrAFunctionThrows)
{
  IoLoop loop;
  std::string reasons;
  loop.SetErrorHandler(
    [&](const std::string& aReason) { reasons += aReason + ";"; });
  const Pair bad;
  const Pair good;
  CountingHandler badHandler(true);
  CountingHandler goodHandler(false);
  loop.Set(bad.ReadableEnd(), IoInterest{ true, false }, badHandler);
  loop.Set(good.ReadableEnd(), IoInterest{ true, false }, goodHandler);
  bool hasRun = false;
  loop.Post([] { throw std::logic_error("a bad function"); });
  loop.Post([&] { hasRun = true; });
  for (int n = 0; n < 3; ++n) {
    loop.Wait(Milliseconds(10));
  }
  CHECK_EQUAL(1, badHandler.mCalls); // Its descriptor is removed.
  CHECK_EQUAL(1, badHandler.mFaults);
  CHECK_EQUAL(3, goodHandler.mCalls);
  CHECK_EQUAL(0, goodHandler.mFaults);
  CHECK_TRUE(hasRun);
  STRCMP_EQUAL("a message that no one expected;a bad function;",
               reasons.c_str());
}

// Guards against a loop that serves all that is ready before it returns: some
// connections with much to read took the time of its timer and of the others.
TEST(IoLoop, LongHandlersLeaveTimeForTheOthersAndTheTimer)
{
  constexpr int kLongHandlers = 6;
  constexpr int kRounds = 2 * kLongHandlers;
  IoLoop loop;
  std::string calls;
  std::array<Pair, kLongHandlers> longEnds;
  std::vector<TimedHandler> handlers;
  handlers.reserve(kLongHandlers);
  for (int n = 0; n < kLongHandlers; ++n) {
    handlers.emplace_back(static_cast<char>('a' + n), 2 * kRoundTime, calls);
    loop.Set(longEnds[static_cast<std::size_t>(n)].ReadableEnd(),
             IoInterest{ true, false },
             handlers.back());
  }
  for (int n = 0; n < kLongHandlers; ++n) {
    loop.Wait(Milliseconds(10)); // Each is found to be long.
  }
  const Pair shortEnd;
  TimedHandler shortHandler('.', Duration{}, calls);
  loop.Set(shortEnd.ReadableEnd(), IoInterest{ true, false }, shortHandler);
  for (int n = 0; n < kRounds; ++n) {
    const std::size_t before = calls.size();
    loop.Wait(Milliseconds(10));
    CHECK(calls.size() - before <= 2); // Then the timer has its turn.
    CHECK_EQUAL('.', calls[before]);
  }
  for (int n = 0; n < kLongHandlers; ++n) {
    const auto name = static_cast<char>('a' + n);
    CHECK(std::count(calls.begin(), calls.end(), name) >= 3);
  }
}

TEST(IoLoop, InterestThatWasTakenBackIsNotServed)
{
  class Closing final : public IoHandler
  {
  public:
    Closing(IoLoop& aLoop, int aOther, IoHandler& aHandler)
      : mLoop(aLoop)
      , mOther(aOther)
      , mHandler(aHandler)
    {
    }
    void OnIo(bool, bool, bool) override
    {
      mLoop.Set(mOther, IoInterest{}, mHandler);
    }
    void OnFault() override {}

  private:
    IoLoop& mLoop;
    int mOther;
    IoHandler& mHandler;
  };
  IoLoop loop;
  const Pair first;
  const Pair second;
  const int firstEnd = first.ReadableEnd();
  const int secondEnd = second.ReadableEnd();
  CountingHandler paused(false);
  Closing closing(loop, secondEnd, paused);
  loop.Set(firstEnd, IoInterest{ true, false }, closing);
  loop.Set(secondEnd, IoInterest{ true, false }, paused);
  loop.Wait(Milliseconds(10));
  CHECK_EQUAL(0, paused.mCalls);
  loop.Set(secondEnd, IoInterest{ true, false }, paused);
  loop.Remove(firstEnd);
  loop.Wait(Milliseconds(10));
  CHECK_EQUAL(1, paused.mCalls);
}
