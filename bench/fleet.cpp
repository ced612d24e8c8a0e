#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/sample_parts.h"
#include "fleet/virtual_fleet.h"

/// Measures membership and the distribution of the configuration with real
/// reducers in virtual time. Prints one row per fleet size.
namespace {

using namespace heatherfork;
using heatherfork::test::SampleParts;
using heatherfork::test::VirtualFleet;

constexpr std::uint64_t kSeed = 20261204;
constexpr int kZones = 8;
constexpr Duration kMaxSettleTime = Milliseconds(120000);
constexpr Duration kIdleTime = Milliseconds(60000);
constexpr int kReplacements = 6;
constexpr int kPublications = 40;
constexpr Duration kPublicationInterval = Milliseconds(2310);

struct Row
{
  std::size_t mNodes = 0;
  double mBytesSentPerNode = 0;     ///< Per second, without TCP overhead.
  double mBytesReceivedPerNode = 0; ///< Per second.
  double mMessagesPerNode = 0;      ///< Sent per second.
  double mEventsPerNode = 0;        ///< Per second, with timer events.
  double mCorePercent = 0;    ///< Share of one core that a node's reducer uses.
  double mDetectionP50Ms = 0; ///< Until all nodes consider a killed one dead.
  double mDetectionMaxMs = 0;
  double mRolloutP50Ms = 0; ///< Until a node applies a new revision.
  double mRolloutP99Ms = 0;
  double mRolloutMaxMs = 0;
  double mBytesPerRevision = 0; ///< Sent and received by a node per revision.
  double mBytesPerReplacement = 0; ///< The same per killed and replaced node.
  double mIdleServiceCalls = 0;    ///< Calls to the service per second.
  double mRolloutServiceCalls = 0;
};

double
Seconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1e6;
}

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return NAN;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(std::lround(aQuantile * last))];
}

[[noreturn]] void
Fail(const char* aMessage)
{
  std::fprintf(stderr, "bench-fleet: %s\n", aMessage);
  std::exit(EXIT_FAILURE);
}

double
MeanBytes(const VirtualFleet& aFleet, bool aIsSent)
{
  double bytes = 0;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    const auto& traffic = aFleet.TrafficOf(i);
    bytes += static_cast<double>(aIsSent ? traffic.mBytesSent
                                         : traffic.mBytesReceived);
  }
  return bytes / static_cast<double>(aFleet.Size());
}

void
MeasureIdle(VirtualFleet& aFleet, Row& aRow)
{
  aFleet.ClearTraffic();
  const auto start = std::chrono::steady_clock::now();
  aFleet.RunFor(kIdleTime);
  const std::chrono::duration<double> took =
    std::chrono::steady_clock::now() - start;
  const double seconds = Seconds(kIdleTime);
  const auto nodes = static_cast<double>(aFleet.Size());
  aRow.mBytesSentPerNode = MeanBytes(aFleet, true) / seconds;
  aRow.mBytesReceivedPerNode = MeanBytes(aFleet, false) / seconds;
  aRow.mIdleServiceCalls =
    static_cast<double>(aFleet.Service().mCalls) / seconds;
  // Includes the cost of the simulation itself and of encoding frames.
  aRow.mCorePercent = 100 * took.count() / seconds / nodes;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    const auto& traffic = aFleet.TrafficOf(i);
    aRow.mMessagesPerNode +=
      static_cast<double>(traffic.mMessagesSent) / seconds / nodes;
    aRow.mEventsPerNode +=
      static_cast<double>(traffic.mEvents) / seconds / nodes;
  }
}

void
MeasureRollout(VirtualFleet& aFleet, Row& aRow)
{
  std::vector<double> times;
  Revision revision = 1;
  aFleet.ClearTraffic();
  const Instant start = aFleet.Now();
  for (int i = 0; i < kPublications; ++i) {
    aFleet.RunFor(kPublicationInterval);
    ++revision;
    aFleet.Publish(revision, SampleParts(static_cast<int>(revision)));
    const Instant published = aFleet.Now();
    std::set<std::size_t> done;
    const auto isRolledOut = [&] {
      for (std::size_t n = 0; n < aFleet.Size(); ++n) {
        const auto current = aFleet.At(n).CurrentConfiguration();
        if (current && current->mRevision >= revision &&
            done.insert(n).second) {
          times.push_back(1000 * Seconds(aFleet.Now() - published));
        }
      }
      return done.size() == aFleet.Size();
    };
    if (!aFleet.RunUntil(isRolledOut, kMaxSettleTime, Milliseconds(1))) {
      Fail("a revision was not applied by all nodes in time");
    }
  }
  const double seconds = Seconds(aFleet.Now() - start);
  const double totalBytes = MeanBytes(aFleet, true) + MeanBytes(aFleet, false);
  const double idleBytes =
    (aRow.mBytesSentPerNode + aRow.mBytesReceivedPerNode) * seconds;
  aRow.mBytesPerRevision = (totalBytes - idleBytes) / kPublications;
  aRow.mRolloutServiceCalls =
    static_cast<double>(aFleet.Service().mCalls) / seconds;
  aRow.mRolloutP50Ms = Quantile(times, 0.5);
  aRow.mRolloutP99Ms = Quantile(times, 0.99);
  aRow.mRolloutMaxMs = Quantile(times, 1);
}

void
MeasureDetection(VirtualFleet& aFleet, Row& aRow)
{
  std::vector<double> times;
  aFleet.ClearTraffic();
  const Instant start = aFleet.Now();
  for (int i = 0; i < kReplacements; ++i) {
    const std::size_t node =
      2 + ((static_cast<std::size_t>(i) * 5) % (aFleet.Size() - 2));
    aFleet.Kill(node);
    const auto took = aFleet.RunUntil(
      [&] { return aFleet.IsMembershipConsistent(); }, kMaxSettleTime);
    if (!took) {
      Fail("a killed node was not detected as dead in time");
    }
    times.push_back(1000 * Seconds(*took));
    aFleet.Restart(node);
    if (!aFleet.HoldsWithin([&] { return aFleet.IsMembershipConsistent(); },
                            kMaxSettleTime)) {
      Fail("a restarted node did not rejoin in time");
    }
  }
  // Includes membership gossip that is still in progress.
  aFleet.RunFor(kIdleTime);
  const double seconds = Seconds(aFleet.Now() - start);
  const double totalBytes = MeanBytes(aFleet, true) + MeanBytes(aFleet, false);
  const double idleBytes =
    (aRow.mBytesSentPerNode + aRow.mBytesReceivedPerNode) * seconds;
  aRow.mBytesPerReplacement = (totalBytes - idleBytes) / kReplacements;
  aRow.mDetectionP50Ms = Quantile(times, 0.5);
  aRow.mDetectionMaxMs = Quantile(times, 1);
}

Row
Measure(std::size_t aNodes)
{
  VirtualFleet fleet(kSeed, kZones);
  Row row;
  row.mNodes = aNodes;
  fleet.Publish(1, SampleParts(1));
  for (std::size_t i = 0; i < aNodes; ++i) {
    fleet.Add();
  }
  const auto isReady = [&] {
    return fleet.IsMembershipConsistent() && fleet.CountInForce(1) == aNodes;
  };
  if (!fleet.HoldsWithin(isReady, kMaxSettleTime)) {
    Fail("the nodes did not agree on membership and configuration in time");
  }
  fleet.RunFor(kIdleTime);
  MeasureIdle(fleet, row);
  MeasureRollout(fleet, row);
  MeasureDetection(fleet, row);
  return row;
}

void
Print(const Row& aRow)
{
  std::printf("| %zu | %.0f | %.0f | %.1f | %.1f | %.3f | %.0f | %.0f | %.0f | "
              "%.0f | %.0f | %.0f | %.0f | %.2f | %.2f |\n",
              aRow.mNodes,
              aRow.mBytesSentPerNode,
              aRow.mBytesReceivedPerNode,
              aRow.mMessagesPerNode,
              aRow.mEventsPerNode,
              aRow.mCorePercent,
              aRow.mDetectionP50Ms,
              aRow.mDetectionMaxMs,
              aRow.mRolloutP50Ms,
              aRow.mRolloutP99Ms,
              aRow.mRolloutMaxMs,
              aRow.mBytesPerRevision,
              aRow.mBytesPerReplacement,
              aRow.mIdleServiceCalls,
              aRow.mRolloutServiceCalls);
  std::fflush(stdout);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::vector<std::size_t> sizes = { 8, 32, 128 };
  if (aCount > 1) {
    sizes.clear();
    for (int i = 1; i < aCount; ++i) {
      sizes.push_back(std::stoul(aArguments[i]));
    }
  }
  std::printf("fleet: virtual time, seed %llu, %d zones, 0.5 ms one way\n\n",
              static_cast<unsigned long long>(kSeed),
              kZones);
  std::printf(
    "| nodes | sent B/s | received B/s | messages/s | events/s | "
    "%% of a core | detection ms p50 | max | in force ms p50 | p99 | "
    "max | bytes a change | bytes a replacement | calls/s quiet | calls/s busy "
    "|\n"
    "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const std::size_t size : sizes) {
    Print(Measure(size));
  }
  return EXIT_SUCCESS;
}
