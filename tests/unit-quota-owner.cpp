#include "heatherfork/detail/relay/quota_members.h"
#include "heatherfork/detail/relay/quota_owner.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::detail;

namespace {

constexpr Instant kStart{ Milliseconds(1000000) };
constexpr Duration kSecond = Milliseconds(1000);

/// Ten units a second and twenty at once, without any tolerance.
QuotaPlan
StrictPlan()
{
  RelaySettings settings;
  settings.mQuotaWindow = Milliseconds(10000);
  return MakeQuotaPlan({ QuotaUnit::kRequests, 10, 20, 0 }, settings);
}

QuotaNeed
Need(std::int64_t aWanted, std::int64_t aSmallest = 1)
{
  return { WorkspaceName{ "w" }, aWanted, aSmallest, 0, 0 };
}

Member
MakeMember(const std::string& aName, MemberStatus aStatus)
{
  Member member;
  member.mNode = { NodeName{ aName }, 2 };
  member.mPeerAddress.mValue = aName + ":81";
  member.mStatus = aStatus;
  return member;
}

/// One node's view of members, without messages.
struct View
{
  bool Update(Instant aNow)
  {
    Effects effects;
    std::deque<PeerMessage> toSelf;
    const ConfigurationPtr configuration;
    const Context context{ mSettings, aNow,    configuration, mMembers,
                           mRandom,   effects, toSelf,        ++mNumber };
    return mQuotas.Update(context);
  }

  NodeSettings mSettings;
  Members mMembers;
  std::mt19937_64 mRandom;
  std::uint64_t mNumber = 0;
  QuotaMembers mQuotas;
};

} // namespace

TEST_GROUP(QuotaOwner){};

TEST(QuotaOwner, DividesTheToleranceWithinTheBound)
{
  struct Row
  {
    double mRate;
    double mBurst;
    double mOvershoot;
    std::int64_t mSlack;
  };
  const Row kRows[] = {
    { 266675, 266675, 0.25, 190000 },
    { 1, 5, 0.25, 4 },
    { 50, 10, 0.1, 0 },
    { 3, 1000, 0.25, 0 },
    { 100, 1, 2, 50 },
  };
  for (const Row& row : kRows) {
    RelaySettings settings;
    settings.mQuotaOvershoot = row.mOvershoot;
    settings.mQuotaSlack = row.mSlack;
    const QuotaPlan plan =
      MakeQuotaPlan({ QuotaUnit::kTokens, row.mRate, row.mBurst, 0 }, settings);
    const double window =
      std::chrono::duration<double>(settings.mQuotaWindow + 2 * plan.mLifetime)
        .count();
    const double most =
      (1 + plan.mPartMargin) * (row.mBurst + plan.mExcess + row.mRate * window);
    const double bound = (row.mRate * 8 + row.mBurst) * (1 + row.mOvershoot) +
                         static_cast<double>(row.mSlack);
    CHECK(most <= bound * 1.000001);
    CHECK(plan.mLifetime >= Milliseconds(100));
    CHECK(plan.mLifetime <= kSecond);
  }
}

TEST(QuotaOwner, CountsWhatTheUnitSays)
{
  struct Row
  {
    QuotaUnit mUnit;
    bool mNamesTokens;
    std::int64_t mExpected;
  };
  const Row kRows[] = {
    { QuotaUnit::kRequests, true, 1 },
    { QuotaUnit::kRequests, false, 1 },
    { QuotaUnit::kTokens, true, 3300 },
    { QuotaUnit::kTokens, false, 200 },
  };
  for (const Row& row : kRows) {
    RelayRequest request;
    request.mNamesTokens = row.mNamesTokens;
    request.mPromptTokens = row.mNamesTokens ? 3000 : 0;
    request.mMaxTokens = row.mNamesTokens ? 300 : 0;
    CHECK_EQUAL(row.mExpected, UnitsOf({ row.mUnit, 1, 1, 200 }, request));
  }
}

TEST(QuotaOwner, LendsWhatTheBucketHolds)
{
  struct Row
  {
    const char* mName;
    Duration mOwned; ///< Before the question.
    std::int64_t mWanted;
    std::int64_t mSmallest;
    double mPart;
    std::int64_t mLent;
    std::int64_t mWaitMs;
    std::int64_t mBacklogMs;
  };
  const Row kRows[] = {
    { "full", 9 * kSecond, 15, 1, 1, 15, 0, 0 },
    { "new owner", Duration{}, 1, 1, 1, 0, 100, 100 },
    { "owner for a second", kSecond, 10, 1, 1, 10, 0, 0 },
    { "over the burst", 9 * kSecond, 25, 1, 1, 20, 100, 500 },
    { "whole requests only", kSecond, 12, 6, 1, 6, 200, 600 },
    { "never more than the burst", 9 * kSecond, 30, 30, 1, 0, 1000, 2000 },
    { "half of the members", 9 * kSecond, 20, 1, 0.5, 10, 200, 2000 },
  };
  for (const Row& row : kRows) {
    QuotaOwner owner;
    const QuotaCredit credit = owner.Lend(kStart,
                                          Need(row.mWanted, row.mSmallest),
                                          StrictPlan(),
                                          row.mPart,
                                          kStart - row.mOwned);
    CHECK_EQUAL_TEXT(row.mLent, credit.mUnits, row.mName);
    CHECK_EQUAL_TEXT(row.mWaitMs, ToMilliseconds(credit.mWait), row.mName);
    CHECK_EQUAL_TEXT(
      row.mBacklogMs, ToMilliseconds(credit.mBacklog), row.mName);
  }
}

TEST(QuotaOwner, LendsAheadOnlyAboveTheBurst)
{
  QuotaPlan plan = StrictPlan();
  plan.mExcess = 6;
  QuotaOwner owner;
  QuotaNeed need = Need(0);
  need.mAhead = 4;
  const Instant since = kStart - 9 * kSecond;
  CHECK_EQUAL(4, owner.Lend(kStart, need, plan, 1, since).mUnits);
  CHECK_EQUAL(2, owner.Lend(kStart, need, plan, 1, since).mUnits);
  CHECK_EQUAL(0, owner.Lend(kStart, need, plan, 1, since).mUnits);
  CHECK_EQUAL(20, owner.Lend(kStart, Need(20), plan, 1, since).mUnits);
}

TEST(QuotaOwner, TakesBackUnusedUnitsUpToTheBurst)
{
  QuotaOwner owner;
  const Instant since = kStart - 9 * kSecond;
  CHECK_EQUAL(20, owner.Lend(kStart, Need(20), StrictPlan(), 1, since).mUnits);
  QuotaNeed returning = Need(5);
  returning.mReturned = 4;
  CHECK_EQUAL(4, owner.Lend(kStart, returning, StrictPlan(), 1, since).mUnits);
  returning.mReturned = 100;
  returning.mWanted = 50;
  CHECK_EQUAL(20, owner.Lend(kStart, returning, StrictPlan(), 1, since).mUnits);
}

TEST(QuotaOwner, LimitChangesApplyToTheBucket)
{
  QuotaOwner owner;
  const Instant since = kStart - 9 * kSecond;
  owner.Lend(kStart, Need(1), StrictPlan(), 1, since);
  QuotaPlan lower = StrictPlan();
  lower.mBurst = 3;
  lower.mRate = 1;
  CHECK_EQUAL(3, owner.Lend(kStart, Need(9), lower, 1, since).mUnits);
  CHECK_EQUAL(1, owner.Lend(kStart + kSecond, Need(9), lower, 1, since).mUnits);
  CHECK_EQUAL(
    10,
    owner.Lend(kStart + 2 * kSecond, Need(10), StrictPlan(), 1, since).mUnits);
}

TEST(QuotaOwner, DropsBucketsOfOthersAndIdleOnes)
{
  QuotaOwner owner;
  owner.Lend(kStart, Need(1), StrictPlan(), 1, kStart);
  owner.DropIdle(kStart + 9 * kSecond);
  CHECK_EQUAL(1U, owner.Size());
  owner.DropIdle(kStart + 11 * kSecond);
  CHECK_EQUAL(0U, owner.Size());
  owner.Lend(kStart, Need(1), StrictPlan(), 1, kStart);
  owner.Retain([](const WorkspaceName&) { return false; });
  CHECK_EQUAL(0U, owner.Size());
}

TEST(QuotaOwner, NodesOwnNothingUntilTheyKnowEachOther)
{
  View view;
  const WorkspaceName workspace{ "w" };
  view.mMembers = { MakeMember("a", MemberStatus::kAlive),
                    MakeMember("b", MemberStatus::kAlive) };
  view.Update(kStart);
  CHECK_EQUAL(0U, view.mQuotas.OwnerOf(workspace).mIncarnation);
  CHECK(view.Update(kStart + kSecond));
  const NodeId owner = view.mQuotas.OwnerOf(workspace);
  CHECK(owner.mIncarnation != 0);
  // A node that joins owns nothing for a second.
  for (char name = 'c'; name <= 'z'; ++name) {
    view.mMembers.push_back(
      MakeMember(std::string(1, name), MemberStatus::kAlive));
  }
  CHECK_FALSE(view.Update(kStart + 5 * kSecond));
  CHECK(view.mQuotas.OwnerOf(workspace) == owner);
  CHECK(view.Update(kStart + 6 * kSecond));
}

TEST(QuotaOwner, NextOwnerCountsFromTheLossOfTheLastOne)
{
  View view;
  const WorkspaceName workspace{ "w" };
  for (char name = 'a'; name <= 'j'; ++name) {
    view.mMembers.push_back(
      MakeMember(std::string(1, name), MemberStatus::kAlive));
  }
  view.Update(kStart);
  view.Update(kStart + kSecond);
  const NodeId first = view.mQuotas.OwnerOf(workspace);
  for (Member& member : view.mMembers) {
    if (member.mNode == first) {
      member.mStatus = MemberStatus::kSuspect;
    }
  }
  CHECK(view.Update(kStart + 9 * kSecond));
  const NodeId second = view.mQuotas.OwnerOf(workspace);
  CHECK(second != first);
  CHECK(view.mQuotas.OwnedSince(workspace) == kStart + 9 * kSecond);
  // A suspect that answers again is the owner at once.
  for (Member& member : view.mMembers) {
    member.mStatus = MemberStatus::kAlive;
  }
  CHECK(view.Update(kStart + 10 * kSecond));
  CHECK(view.mQuotas.OwnerOf(workspace) == first);
}

TEST(QuotaOwner, PartIsTheAliveShareOfWhatHasNotLeft)
{
  struct Row
  {
    MemberStatus mStatus;
    double mExpected;
  };
  const Row kRows[] = { { MemberStatus::kAlive, 1 },
                        { MemberStatus::kSuspect, 0.75 },
                        { MemberStatus::kDead, 0.75 },
                        { MemberStatus::kLeaving, 1 } };
  for (const Row& row : kRows) {
    View view;
    for (const char* name : { "a", "b", "c", "d" }) {
      view.mMembers.push_back(MakeMember(name, MemberStatus::kAlive));
    }
    view.Update(kStart);
    view.mMembers[2].mStatus = row.mStatus;
    view.Update(kStart + kSecond);
    DOUBLES_EQUAL(row.mExpected, view.mQuotas.Part(), 1e-9);
    view.mMembers[2].mStatus = MemberStatus::kDead;
    view.Update(kStart + 2 * kSecond);
    DOUBLES_EQUAL(row.mStatus == MemberStatus::kLeaving ? 1 : 0.75,
                  view.mQuotas.Part(),
                  1e-9);
  }
}
