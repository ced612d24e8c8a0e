#include "heatherfork/duty_members.h"

#include <algorithm>
#include <set>
#include <string>

#include "heatherfork/detail/scheduling/shard_map.h"
#include "heatherfork/store_readers.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

constexpr std::size_t kMaxEntries = 64;
constexpr std::uint32_t kLargeShare = 500;
constexpr std::uint32_t kSmallShare = 120;
constexpr int kZones = 5;

Member
MakeMember(const std::string& aName, int aZone, std::uint32_t aShare)
{
  Member member;
  member.mNode = { NodeName{ aName }, 1 };
  member.mZone.mValue = "zone-" + std::to_string(aZone);
  member.mCallerAddress.mValue = aName + ":80";
  member.mProcessorShare = aShare;
  return member;
}

/// Nodes in five availability zones, ordered by name.
Members
MakeFleet(int aLarge, int aSmall)
{
  Members members;
  for (int n = 0; n < aLarge + aSmall; ++n) {
    const bool isLarge = n < aLarge;
    const std::string number = std::to_string(1000 + n);
    members.push_back(MakeMember((isLarge ? "large-" : "small-") + number,
                                 n % kZones,
                                 isLarge ? kLargeShare : kSmallShare));
  }
  return members;
}

struct Row
{
  const char* mName;
  int mLarge;
  int mSmall;
  std::size_t mDuty;
  std::size_t mEntries;
  std::size_t mSmallEntries;
};

const Row kRows[] = {
  { "one share", 0, 8, 8, 8, 8 },
  { "large ones take the work", 15, 280, 15, 15, 0 },
  { "few large ones", 3, 280, 3, 64, 61 },
  { "one share, more than callers use", 0, 295, 295, 64, 64 },
  { "small site with one large node", 1, 7, 1, 8, 7 },
};

bool
IsSmall(const std::string& aText)
{
  return aText.substr(0, 5) == "small";
}

} // namespace

TEST_GROUP(DutyMembers){};

TEST(DutyMembers, AreThoseWithTheLargestShares)
{
  for (const Row& row : kRows) {
    const Members members = MakeFleet(row.mLarge, row.mSmall);
    CHECK_EQUAL_TEXT(row.mDuty, DutyMembers(members).size(), row.mName);
    const auto entries = EntryAddresses(members, kMaxEntries);
    CHECK_EQUAL_TEXT(row.mEntries, entries.size(), row.mName);
    const auto small =
      std::count_if(entries.begin(), entries.end(), [](const Address& aEntry) {
        return IsSmall(aEntry.mValue);
      });
    CHECK_EQUAL_TEXT(
      row.mSmallEntries, static_cast<std::size_t>(small), row.mName);
  }
}

// Callers use the first 64 addresses: those of one zone would take all load.
TEST(DutyMembers, EntriesOfALargeFleetAreInAllZones)
{
  const Members members = MakeFleet(0, 295);
  std::set<ZoneName> zones;
  for (const Address& address : EntryAddresses(members, kMaxEntries)) {
    for (const Member& member : members) {
      if (member.mCallerAddress == address) {
        zones.insert(member.mZone);
      }
    }
  }
  CHECK_EQUAL(static_cast<std::size_t>(kZones), zones.size());
}

TEST(DutyMembers, OmitsThoseThatAreNotAliveOrDoNotServe)
{
  for (const MemberStatus status : { MemberStatus::kSuspect,
                                     MemberStatus::kLeaving,
                                     MemberStatus::kDead }) {
    Members members = MakeFleet(15, 20);
    members[0].mStatus = status;
    CHECK_EQUAL(14U, DutyMembers(members).size());
    CHECK_EQUAL(14U, EntryAddresses(members, kMaxEntries).size());
  }
  Members members = MakeFleet(15, 20);
  members[0].mCallerAddress = Address{};
  CHECK_EQUAL(14U, EntryAddresses(members, kMaxEntries).size());
  CHECK(DutyMembers({}).empty());
  CHECK(EntryAddresses({}, kMaxEntries).empty());
}

// One VM with a small share could not schedule for 300 nodes.
TEST(DutyMembers, ScheduleAndReadTheStore)
{
  const Members members = MakeFleet(15, 280);
  for (int index = 0; index < 50; ++index) {
    for (const char* zone : { "", "zone-3" }) {
      const ShardId id{ PoolName{ "pool" }, ZoneName{ zone }, index };
      const detail::Shard shard{
        id, "key" + std::to_string(index), nullptr, {}
      };
      const NodeId scheduler = detail::SchedulerOf(shard, members);
      CHECK_FALSE(IsSmall(scheduler.mName.mValue));
    }
  }
  for (const Member& member : members) {
    const bool isReader = IsStoreReader(members, member.mNode);
    CHECK_FALSE(isReader && IsSmall(member.mNode.mName.mValue));
  }
}
