#include "heatherfork/detail/relay/delivery_watch.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::relay;

namespace {

Instant
At(std::int64_t aMs)
{
  return Instant(Milliseconds(100000 + aMs));
}

/// What a check finds, and what is concluded.
struct Step
{
  std::int64_t mAtMs;
  std::int64_t mReplyAtMs; ///< When the peer last acknowledged anything.
  std::uint64_t mAcknowledgedBytes;
  bool mAwaitsReply;
  bool mHasUnacknowledged;
  DeliveryState mState;
};

struct Row
{
  const char* mName;
  std::vector<Step> mSteps;
  std::int64_t mKernelTimeoutMs; ///< After the last step.
};

constexpr auto kUnderWay = DeliveryState::kUnderWay;
constexpr auto kPaused = DeliveryState::kPaused;
constexpr auto kSilent = DeliveryState::kSilent;
constexpr auto kDelivered = DeliveryState::kDelivered;

// Members in the order of Step.
const Row kRows[] = {
  { "all bytes arrive", { { 500, 10, 100, false, false, kDelivered } }, 2000 },
  { "the peer's window is closed and it answers probes",
    { { 500, 450, 100, false, true, kUnderWay },
      { 1000, 900, 100, false, true, kUnderWay },
      { 1500, 1400, 100, false, true, kUnderWay },
      { 2000, 1800, 100, false, true, kPaused },
      { 2500, 1800, 100, true, true, kPaused },
      { 3000, 2900, 100, false, true, kPaused } },
    4900 },
  { "the peer reads on after a pause",
    { { 500, 450, 100, false, true, kUnderWay },
      { 1250, 1200, 100, false, true, kUnderWay },
      { 2000, 1900, 100, false, true, kPaused },
      { 2500, 2400, 200, false, true, kUnderWay },
      { 3000, 2900, 300, false, true, kUnderWay } },
    4900 },
  { "the peer reads all after a pause",
    { { 500, 450, 100, false, true, kUnderWay },
      { 2500, 2400, 200, false, false, kDelivered } },
    0 },
  { "the bytes arrived after the kernel may have probed",
    { { 500, 210, 100, false, false, kDelivered } },
    0 },
  { "the peer never answers",
    { { 500, 0, 100, true, true, kUnderWay },
      { 1250, 0, 100, true, true, kUnderWay },
      { 1900, 0, 100, true, true, kUnderWay },
      { 2000, 0, 100, true, true, kSilent } },
    2000 },
  { "the peer's machine is gone while it pauses",
    { { 500, 450, 100, false, true, kUnderWay },
      { 1250, 1200, 100, false, true, kUnderWay },
      { 2000, 1900, 100, false, true, kPaused },
      { 2500, 1900, 100, true, true, kPaused },
      { 3250, 1900, 100, true, true, kPaused },
      { 3900, 1900, 100, true, true, kPaused },
      { 4000, 1900, 100, true, true, kSilent } },
    3900 },
  { "this process was paused between two checks",
    { { 500, 450, 100, true, true, kUnderWay },
      { 9000, 450, 100, true, true, kPaused },
      { 9500, 9400, 100, false, true, kPaused } },
    11400 },
};

} // namespace

TEST_GROUP(Delivery){};

// Guards against a peer that pauses being taken for one that is gone, and the
// reverse.
TEST(Delivery, TellsPausedPeersFromSilentOnes)
{
  for (const Row& row : kRows) {
    DeliveryProgress progress;
    progress.Begin(At(0));
    for (const Step& step : row.mSteps) {
      const SendState state{ step.mAcknowledgedBytes,
                             step.mHasUnacknowledged,
                             step.mAwaitsReply,
                             Milliseconds(step.mAtMs - step.mReplyAtMs) };
      const DeliveryState found = progress.Update(state, At(step.mAtMs));
      CHECK_EQUAL_TEXT(
        static_cast<int>(step.mState), static_cast<int>(found), row.mName);
    }
    CHECK_EQUAL_TEXT(row.mKernelTimeoutMs,
                     ToMilliseconds(progress.KernelTimeout()),
                     row.mName);
  }
}
