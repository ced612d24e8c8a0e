#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "heatherfork/entries.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

constexpr int kAnswerCount = 24000;
constexpr double kMaxDeviation = 0.10; ///< Relative to the mean share.

ZoneName
ZoneAt(std::size_t aIndex)
{
  return ZoneName{ "zone-" + std::to_string(aIndex) };
}

/// A fleet with the given number of nodes in each zone.
Members
FleetOf(const std::vector<std::size_t>& aSizes)
{
  Members members;
  for (std::size_t zone = 0; zone < aSizes.size(); ++zone) {
    for (std::size_t i = 0; i < aSizes[zone]; ++i) {
      Member member;
      member.mNode =
        NodeId{ NodeName{ "n" + std::to_string(members.size()) }, 7 };
      member.mZone = ZoneAt(zone);
      member.mCallerAddress = Address{ "h:1" };
      members.push_back(member);
    }
  }
  return members;
}

EntriesQuery
QueryAt(const ZoneName& aZone, int aAnswer)
{
  EntriesQuery query;
  query.mZone = aZone;
  query.mSeed = static_cast<std::uint64_t>(aAnswer) * 7919;
  return query;
}

/// The largest relative deviation of a node's share of one position in the
/// answers, for callers spread evenly over the zones.
double
Deviation(const Members& aMembers,
          std::size_t aZones,
          bool aIsZoneKnown,
          std::size_t aPosition)
{
  std::map<NodeId, int> counts;
  for (const Member& member : aMembers) {
    if (member.mStatus == MemberStatus::kAlive) {
      counts[member.mNode] = 0;
    }
  }
  for (int i = 0; i < kAnswerCount; ++i) {
    const auto zone = static_cast<std::size_t>(i) % aZones;
    const Entries entries =
      EntriesFor(aMembers,
                 Configuration{},
                 QueryAt(aIsZoneKnown ? ZoneAt(zone) : ZoneName{}, i));
    ++counts[entries.mNodes[aPosition].mNode];
  }
  const double mean = double(kAnswerCount) / double(counts.size());
  double worst = 0;
  for (const auto& [node, count] : counts) {
    worst = std::max(worst, std::abs(count - mean) / mean);
  }
  return worst;
}

// Entries are ordered by preference, not by name as FindMember expects.
bool
Contains(const Members& aNodes, const NodeId& aNode)
{
  return std::any_of(aNodes.begin(), aNodes.end(), [&](const Member& aMember) {
    return aMember.mNode == aNode;
  });
}

} // namespace

TEST_GROUP(Entries){};

TEST(Entries, SpreadsFirstEntriesEvenlyIncludingAfterNodeDeath)
{
  struct Row
  {
    const char* mName;
    std::vector<std::size_t> mSizes;
    int mDeadNode;
    bool mIsZoneKnown;
  };
  const std::vector<Row> rows = {
    { "3 3 2", { 3, 3, 2 }, -1, true },
    { "3 3 2, zone unknown", { 3, 3, 2 }, -1, false },
    { "4 2 2", { 4, 2, 2 }, -1, true },
    { "one zone", { 8 }, -1, true },
    { "3 3 2, a node of the first zone dead", { 3, 3, 2 }, 1, true },
    { "3 3 2, a node of the last zone dead", { 3, 3, 2 }, 7, true },
    { "4 4 1, the only node of the last zone dead", { 4, 4, 1 }, 8, true },
  };
  for (const Row& row : rows) {
    Members members = FleetOf(row.mSizes);
    if (row.mDeadNode >= 0) {
      members[static_cast<std::size_t>(row.mDeadNode)].mStatus =
        MemberStatus::kDead;
    }
    const double worst =
      Deviation(members, row.mSizes.size(), row.mIsZoneKnown, 0);
    CHECK_TEXT(worst < kMaxDeviation, row.mName);
  }
}

TEST(Entries, ReturnsOnlyAliveNodes)
{
  for (const auto status : { MemberStatus::kSuspect,
                             MemberStatus::kLeaving,
                             MemberStatus::kDead }) {
    Members members = FleetOf({ 2, 2 });
    members[1].mStatus = status;
    for (int i = 0; i < 100; ++i) {
      const Entries entries =
        EntriesFor(members, Configuration{}, QueryAt(ZoneAt(0), i));
      CHECK_EQUAL(3U, entries.mNodes.size());
      CHECK_FALSE(Contains(entries.mNodes, members[1].mNode));
    }
  }
  CHECK(EntriesFor({}, Configuration{}, QueryAt(ZoneAt(0), 1)).mNodes.empty());
}

TEST(Entries, OmitsNodeWithoutCallerAddress)
{
  Members members = FleetOf({ 2, 2 });
  members[1].mCallerAddress = Address{};
  for (int i = 0; i < 100; ++i) {
    const Entries entries =
      EntriesFor(members, Configuration{}, QueryAt(ZoneAt(0), i));
    CHECK_EQUAL(3U, entries.mNodes.size());
    CHECK_FALSE(Contains(entries.mNodes, members[1].mNode));
  }
}

TEST(Entries, PutsNearestZoneFirstAndCoversAllZones)
{
  const Members members = FleetOf({ 40, 40, 40 });
  Configuration configuration;
  configuration.mRevision = 9;
  for (int i = 0; i < 100; ++i) {
    const Entries entries =
      EntriesFor(members, configuration, QueryAt(ZoneAt(1), i));
    CHECK_EQUAL(9U, entries.mRevision);
    CHECK(entries.mValidFor == configuration.mLimits.mEntriesValidity);
    CHECK_EQUAL(6U, entries.mNodes.size());
    std::set<ZoneName> zones;
    std::set<NodeId> nodes;
    for (const Member& node : entries.mNodes) {
      zones.insert(node.mZone);
      nodes.insert(node.mNode);
    }
    CHECK_EQUAL(3U, zones.size());
    CHECK_EQUAL(6U, nodes.size());
    CHECK(entries.mNodes[0].mZone == ZoneAt(1));
    CHECK(entries.mNodes[1].mZone == ZoneAt(1));
  }
}
