#include "single_relay_node.h"

#include <algorithm>
#include <ctime>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

constexpr int kSmallFleet = 8;
constexpr int kLargeFleet = 300;
constexpr int kEventsPerRound = 400;
constexpr int kRounds = 15;

// An event may cost this many times as much in the large fleet, which has 37
// times the nodes of the small one.
constexpr double kMaxGrowth = 2.5;

const NodeId kPeer{ NodeName{ "n-0" }, 2 };

double
ThreadMicroseconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

std::vector<std::string>
NodeNames(int aCount)
{
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(aCount));
  for (int n = 0; n < aCount; ++n) {
    names.push_back("n-" + std::to_string(n));
  }
  return names;
}

using Action = void (*)(SingleRelayNode&, std::uint64_t);

/// Processor time of one call of the action, in microseconds: the best of
/// several rounds, so that other work on the machine does not count.
double
CostOf(int aNodes, Action aAction)
{
  SingleRelayNode node;
  node.AddNodes(NodeNames(aNodes));
  node.Step(TimerFired{});
  double best = 0;
  std::uint64_t number = 0;
  for (int round = 0; round < kRounds; ++round) {
    const double startedAt = ThreadMicroseconds();
    for (int n = 0; n < kEventsPerRound; ++n) {
      aAction(node, ++number);
    }
    const double took = (ThreadMicroseconds() - startedAt) / kEventsPerRound;
    best = round == 0 ? took : std::min(best, took);
  }
  return best;
}

void
FireTimer(SingleRelayNode& aNode, std::uint64_t /*aNumber*/)
{
  aNode.Step(TimerFired{}, Duration(10));
}

void
ScheduleForPeer(SingleRelayNode& aNode, std::uint64_t aNumber)
{
  PlaceRequest place;
  place.mAttempt = { kPeer.mIncarnation, aNumber };
  place.mKind = RequestKind::kPlainCall;
  place.mService.mValue = "desk";
  place.mTimeLeft = Milliseconds(1000);
  place.mTarget = Milliseconds(100);
  aNode.Step(PeerReceived{ kPeer, place }, Duration(10));
  aNode.Step(
    PeerReceived{
      kPeer,
      PlacementEnded{
        place.mAttempt, PlacementResult::kDone, {}, Milliseconds(15), 0 } },
    Duration(10));
}

void
TakeRequest(SingleRelayNode& aNode, std::uint64_t /*aNumber*/)
{
  aNode.SendRequest("/often/");
  aNode.Step(RelayCallerDisconnected{ aNode.mCaller }, Duration(10));
}

struct Row
{
  const char* mName;
  Action mAction;
};

constexpr Row kRows[] = {
  { "timer", FireTimer },
  { "placement for another node", ScheduleForPeer },
  { "request of a caller", TakeRequest },
};

} // namespace

TEST_GROUP(RelayScale){};

// 295 nodes on small VMs: what each event costs beyond its own work, multiplied
// by the number of members, exceeds the processor share of a VM.
TEST(RelayScale, EventCostDoesNotGrowWithTheFleet)
{
  std::string failed;
  for (const Row& row : kRows) {
    const double small = CostOf(kSmallFleet, row.mAction);
    const double large = CostOf(kLargeFleet, row.mAction);
    if (large > small * kMaxGrowth) {
      failed += std::string(row.mName) + ": " + std::to_string(small) +
                " us with 8 nodes, " + std::to_string(large) + " us with 300; ";
    }
  }
  STRCMP_EQUAL("", failed.c_str());
}
