#include <string>
#include <vector>

#include "fleet/virtual_fleet.h"
#include "heatherfork/detail/membership/member_table.h"
#include "heatherfork/detail/membership/overlay.h"
#include "heatherfork/membership_settings.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using detail::MemberTable;
using heatherfork::test::VirtualFleet;

namespace {

constexpr Duration kSettleTime = Milliseconds(20000);

void
AddNodes(VirtualFleet& aFleet, std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    aFleet.Add();
  }
}

void
StartAndSettle(VirtualFleet& aFleet, std::size_t aCount)
{
  AddNodes(aFleet, aCount);
  CHECK(aFleet.HoldsWithin([&] { return aFleet.IsMembershipConsistent(); },
                           kSettleTime));
}

Member
MemberOf(Incarnation aIncarnation,
         std::uint64_t aGeneration,
         std::uint32_t aEpoch,
         std::uint32_t aVersion,
         MemberStatus aStatus)
{
  Member member;
  member.mNode = NodeId{ NodeName{ "a" }, aIncarnation };
  member.mGeneration = aGeneration;
  member.mEpoch = aEpoch;
  member.mVersion = aVersion;
  member.mStatus = aStatus;
  return member;
}

/// True when all other running nodes see aNode with this status.
bool
AllSeeStatus(const VirtualFleet& aFleet,
             std::size_t aNode,
             MemberStatus aStatus)
{
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    if (i != aNode && aFleet.IsRunning(i) &&
        aFleet.StatusAt(i, aNode) != aStatus) {
      return false;
    }
  }
  return true;
}

/// True when no node lists any member as dead.
bool
NoMemberIsDead(const VirtualFleet& aFleet)
{
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    for (const Member& member : aFleet.At(i).KnownMembers()) {
      if (member.mStatus == MemberStatus::kDead) {
        return false;
      }
    }
  }
  return true;
}

} // namespace

TEST_GROUP(MemberTable){};

TEST(MemberTable, NewerUpdateReplacesKnownRecord)
{
  struct Row
  {
    const char* mName;
    Member mKnown;
    Member mUpdate;
    bool mShouldReplace;
  };
  const auto alive = MemberStatus::kAlive;
  const auto suspect = MemberStatus::kSuspect;
  const auto dead = MemberStatus::kDead;
  const std::vector<Row> rows = {
    { "equal", MemberOf(1, 5, 0, 0, alive), MemberOf(1, 5, 0, 0, alive), 0 },
    { "suspicion",
      MemberOf(1, 5, 0, 0, alive),
      MemberOf(1, 5, 0, 0, suspect),
      1 },
    { "older update",
      MemberOf(1, 5, 0, 0, suspect),
      MemberOf(1, 5, 0, 0, alive),
      0 },
    { "refuted",
      MemberOf(1, 5, 0, 0, suspect),
      MemberOf(1, 5, 0, 1, alive),
      1 },
    { "rejoined", MemberOf(1, 5, 0, 9, dead), MemberOf(1, 5, 1, 0, alive), 1 },
    { "death in an earlier epoch",
      MemberOf(1, 5, 1, 0, alive),
      MemberOf(1, 5, 0, 9, dead),
      0 },
    { "later generation",
      MemberOf(9, 5, 3, 9, alive),
      MemberOf(1, 6, 0, 0, alive),
      1 },
    { "earlier generation",
      MemberOf(1, 6, 0, 0, alive),
      MemberOf(9, 5, 7, 9, alive),
      0 },
  };
  for (const Row& row : rows) {
    MemberTable table;
    table.Merge(row.mKnown, Instant{}, 10);
    const bool hasChanged = table.Merge(row.mUpdate, Instant{}, 10).has_value();
    CHECK_EQUAL_TEXT(row.mShouldReplace, hasChanged, row.mName);
    CHECK(*table.Find(NodeName{ "a" }) ==
          (row.mShouldReplace ? row.mUpdate : row.mKnown));
  }
}

TEST(MemberTable, RefusesUnknownDeadAndRespectsCapacity)
{
  MemberTable table;
  CHECK(!table.Merge(MemberOf(1, 1, 0, 0, MemberStatus::kDead), {}, 10)
           .has_value());
  CHECK(!table.Merge(MemberOf(1, 1, 0, 0, MemberStatus::kAlive), {}, 0)
           .has_value());
  CHECK(
    table.Merge(MemberOf(1, 1, 0, 0, MemberStatus::kAlive), {}, 1).has_value());
}

TEST(MemberTable, DigestIsIndependentOfInsertionOrder)
{
  Member other = MemberOf(2, 1, 0, 0, MemberStatus::kAlive);
  other.mNode.mName.mValue = "b";
  MemberTable left;
  MemberTable right;
  left.Merge(MemberOf(1, 1, 0, 0, MemberStatus::kAlive), {}, 10);
  left.Merge(other, {}, 10);
  right.Merge(other, {}, 10);
  CHECK(left.Digest() != right.Digest());
  right.Merge(MemberOf(1, 1, 0, 0, MemberStatus::kAlive), {}, 10);
  right.Merge(MemberOf(1, 1, 0, 0, MemberStatus::kSuspect), {}, 10);
  CHECK_EQUAL(left.Digest(), right.Digest());
  right.Merge(MemberOf(1, 1, 0, 0, MemberStatus::kDead), {}, 10);
  CHECK(left.Digest() != right.Digest());
}

TEST_GROUP(MembershipSettings){};

TEST(MembershipSettings, RefusesOutOfRangeSettingsByName)
{
  CHECK(CheckSettings(MembershipSettings{}).ok());
  MembershipSettings invalid;
  invalid.mProbePeriod = Milliseconds(0);
  const std::string text(CheckSettings(invalid).message());
  CHECK(text.find("membership.probe_period_ms") != std::string::npos);
  invalid = MembershipSettings{};
  invalid.mNewsPeriod = invalid.mProbePeriod + Milliseconds(1);
  CHECK(!CheckSettings(invalid).ok());
}

TEST_GROUP(Membership){};

TEST(Membership, DiscoversNodesFromSeeds)
{
  for (const std::size_t count : { 2U, 8U, 40U }) {
    VirtualFleet fleet(1);
    StartAndSettle(fleet, count);
  }
}

TEST(Membership, DiscoversNodesFromVmListOnly)
{
  VirtualFleet fleet(1);
  VmListRead list;
  for (int i = 0; i < 4; ++i) {
    const auto index =
      fleet.Add([](NodeSettings& aSettings) { aSettings.mSeeds.clear(); });
    list.mVms.push_back(VmRecord{
      "vm", fleet.At(index).Settings().mPeerAddress, ZoneName{ "z" } });
  }
  // Stale entry: this VM no longer exists.
  list.mVms.push_back(VmRecord{ "old", Address{ "10.9.9.9:70" } });
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.InjectEvent(i, list);
  }
  CHECK(fleet.HoldsWithin([&] { return fleet.IsMembershipConsistent(); },
                          kSettleTime));
}

TEST(Membership, DetectsDeadNodeWithEmptyVmList)
{
  VirtualFleet fleet(2);
  StartAndSettle(fleet, 8);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.InjectEvent(i, VmListRead{});
  }
  fleet.Kill(3);
  const auto detectionTime = fleet.RunUntil(
    [&] { return AllSeeStatus(fleet, 3, MemberStatus::kDead); }, kSettleTime);
  CHECK(detectionTime.has_value());
  CHECK(*detectionTime < Milliseconds(6000));
}

TEST(Membership, OneWayPartitionDeclaresNoNodeDead)
{
  VirtualFleet fleet(3);
  StartAndSettle(fleet, 8);
  fleet.SetMessageLoss(
    [](std::size_t aFrom, std::size_t aTo) { return aFrom == 2 && aTo == 5; });
  for (int i = 0; i < 600; ++i) {
    fleet.RunFor(Milliseconds(100));
    CHECK(NoMemberIsDead(fleet));
  }
}

TEST(Membership, PartitionHealsWithoutFalseDeaths)
{
  for (const std::size_t count : { 8U, 30U }) {
    VirtualFleet fleet(4);
    StartAndSettle(fleet, count);
    fleet.SetMessageLoss(
      [](std::size_t aFrom, std::size_t aTo) { return aFrom % 2 != aTo % 2; });
    const auto isPartitioned = [&] {
      return fleet.StatusAt(0, 1) == MemberStatus::kDead &&
             fleet.StatusAt(1, 0) == MemberStatus::kDead;
    };
    CHECK(fleet.HoldsWithin(isPartitioned, kSettleTime));
    fleet.RunFor(Milliseconds(60000));
    CHECK(fleet.StatusAt(0, 2) == MemberStatus::kAlive);
    fleet.SetMessageLoss({});
    // While the partition heals, no node may declare a member of its own side
    // dead.
    bool sawNoFalseDeath = true;
    const auto isHealed = [&] {
      for (std::size_t i = 0; i + 2 < count; ++i) {
        sawNoFalseDeath =
          sawNoFalseDeath && fleet.StatusAt(i, i + 2) != MemberStatus::kDead;
      }
      return fleet.IsMembershipConsistent();
    };
    CHECK(fleet.HoldsWithin(isHealed, Milliseconds(120000)));
    CHECK(sawNoFalseDeath);
    const Member* self = FindMember(fleet.At(0).KnownMembers(), fleet.IdOf(0));
    CHECK(self->mEpoch > 0);
  }
}

TEST(Membership, ResumedNodeRefutesItsDeathAndSuspectsNoOther)
{
  VirtualFleet fleet(5);
  StartAndSettle(fleet, 8);
  fleet.Freeze(4);
  CHECK(fleet.HoldsWithin(
    [&] { return AllSeeStatus(fleet, 4, MemberStatus::kDead); }, kSettleTime));
  fleet.Resume(4);
  CHECK(fleet.HoldsWithin([&] { return fleet.IsMembershipConsistent(); },
                          Milliseconds(60000)));
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    const Member* self = FindMember(fleet.At(i).KnownMembers(), fleet.IdOf(i));
    CHECK_EQUAL(i == 4 ? 1U : 0U, self->mEpoch);
  }
}

TEST(Membership, NewIncarnationReplacesOldPermanently)
{
  VirtualFleet fleet(6);
  StartAndSettle(fleet, 8);
  const NodeId old = fleet.IdOf(3);
  fleet.Restart(3);
  CHECK(fleet.HoldsWithin([&] { return fleet.IsMembershipConsistent(); },
                          kSettleTime));
  // A late update about the old incarnation arrives.
  const Member lateUpdate{
    old, ZoneName{ "zone-0" }, Address{ "x:1" }, Address{ "x:2" }
  };
  fleet.InjectEvent(
    0, PeerReceived{ fleet.IdOf(1), Probe{ 1, 0, 0, { lateUpdate } } });
  fleet.RunFor(Milliseconds(5000));
  CHECK(fleet.IsMembershipConsistent());
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    CHECK(FindMember(fleet.At(i).KnownMembers(), old) == nullptr);
  }
}

TEST(Membership, ReplacedNodeStops)
{
  VirtualFleet fleet(7);
  StartAndSettle(fleet, 4);
  fleet.RunFor(Milliseconds(20000));
  Member replacement = *FindMember(fleet.At(0).KnownMembers(), fleet.IdOf(3));
  replacement.mNode.mIncarnation = 99;
  ++replacement.mGeneration;
  fleet.InjectEvent(
    3, PeerReceived{ fleet.IdOf(0), Probe{ 1, 0, 0, { replacement } } });
  // The node drains its requests as in a planned stop; there are none here.
  const auto hasExited = [&] {
    const auto& effects = fleet.OtherEffects(3);
    return !effects.empty() &&
           std::holds_alternative<ExitProcess>(effects.back());
  };
  CHECK(fleet.HoldsWithin(hasExited, kSettleTime));
}

TEST(Membership, JoiningNodeWithEarlierClockSupersedesOldIncarnation)
{
  VirtualFleet fleet(8);
  StartAndSettle(fleet, 4);
  Member earlier = *FindMember(fleet.At(0).KnownMembers(), fleet.IdOf(3));
  earlier.mNode.mIncarnation = 77;
  earlier.mGeneration += 1000000;
  fleet.Restart(3);
  fleet.RunFor(Milliseconds(100));
  fleet.InjectEvent(
    3, PeerReceived{ fleet.IdOf(0), Probe{ 1, 0, 0, { earlier } } });
  CHECK(fleet.HoldsWithin([&] { return fleet.IsMembershipConsistent(); },
                          kSettleTime));
}

TEST(Membership, ConvergesAfterAllNodesRestartAtOnce)
{
  VirtualFleet fleet(9);
  StartAndSettle(fleet, 24);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.Restart(i);
  }
  CHECK(fleet.HoldsWithin([&] { return fleet.IsMembershipConsistent(); },
                          kSettleTime));
}

TEST(Membership, LeavingStatusSpreadsWithinTwoSeconds)
{
  VirtualFleet fleet(10);
  StartAndSettle(fleet, 8);
  fleet.InjectEvent(2, StopRequested{});
  CHECK(fleet.HoldsWithin(
    [&] { return AllSeeStatus(fleet, 2, MemberStatus::kLeaving); },
    Milliseconds(2000)));
}

TEST(Membership, EachNodeIsProbedByAsManyNodesAsItProbes)
{
  Members members;
  for (int i = 0; i < 37; ++i) {
    Member member;
    member.mNode =
      NodeId{ NodeName{ "n" + std::to_string(i) }, Incarnation(i + 1) };
    members.push_back(member);
  }
  std::map<NodeId, int> probed;
  for (const Member& member : members) {
    for (const NodeId& node : detail::Neighbours(members, member.mNode)) {
      ++probed[node];
    }
  }
  for (const Member& member : members) {
    CHECK_EQUAL(6, probed[member.mNode]);
  }
}
