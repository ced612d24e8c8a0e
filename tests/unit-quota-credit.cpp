#include "heatherfork/detail/relay/quota_credit.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::detail;

namespace {

constexpr Instant kStart{ Milliseconds(1000000) };
constexpr Duration kInterval = Milliseconds(20);
constexpr Duration kLifetime = Milliseconds(400);
const NodeId kOwner{ NodeName{ "o" }, 1 };
const NodeId kNextOwner{ NodeName{ "p" }, 2 };

Instant
At(std::int64_t aMilliseconds)
{
  return kStart + Milliseconds(aMilliseconds);
}

QuotaPlan
Plan()
{
  return { 100, 20, 10, 0, kLifetime };
}

QuotaCredit
Credit(std::int64_t aUnits, Duration aWait = {}, Duration aBacklog = {})
{
  return { WorkspaceName{ "w" }, aUnits, kLifetime, aWait, aBacklog };
}

/// An account whose first request, of ten units, waits; asked for at kStart.
struct AskingAccount
{
  AskingAccount()
  {
    mAccount.Take(kStart, 1, 10, At(2000));
    mNeed = *mAccount.NextNeed(kStart, kOwner, Plan(), kInterval);
  }

  QuotaCreditAccount mAccount;
  QuotaNeed mNeed;
};

QuotaVerdict
Take(QuotaCreditAccount& aAccount,
     std::int64_t aMilliseconds,
     std::int64_t aUnits)
{
  return aAccount.Take(At(aMilliseconds), 9, aUnits, At(aMilliseconds + 2000))
    .mVerdict;
}

} // namespace

TEST_GROUP(QuotaCredit){};

TEST(QuotaCredit, RequestWithoutCreditWaitsAndAsks)
{
  AskingAccount asking;
  CHECK_EQUAL(10, asking.mNeed.mWanted);
  CHECK_EQUAL(10, asking.mNeed.mSmallest);
  // Not again before an answer or its timeout.
  CHECK(Take(asking.mAccount, 10, 4) == QuotaVerdict::kWaits);
  CHECK_FALSE(
    asking.mAccount.NextNeed(At(200), kOwner, Plan(), kInterval).has_value());
  const auto again =
    asking.mAccount.NextNeed(At(250), kOwner, Plan(), kInterval);
  CHECK_EQUAL(14, again->mWanted);
  CHECK_EQUAL(4, again->mSmallest);
}

TEST(QuotaCredit, AnswerGrantsRefusesOrLeavesWaiting)
{
  struct Row
  {
    const char* mName;
    QuotaCredit mCredit;
    std::int64_t mAt;
    std::size_t mDecided;
    QuotaVerdict mVerdict;
    std::int64_t mRetryMs;
  };
  const Row kRows[] = {
    { "all", Credit(10), 5, 1, QuotaVerdict::kGranted, 0 },
    { "none",
      Credit(0, Milliseconds(50), Milliseconds(700)),
      5,
      1,
      QuotaVerdict::kOverLimit,
      700 },
    { "too little",
      Credit(9, Milliseconds(1)),
      5,
      1,
      QuotaVerdict::kOverLimit,
      100 },
    { "lapsed on its way", Credit(10), 400, 0, QuotaVerdict::kGranted, 0 },
  };
  for (const Row& row : kRows) {
    AskingAccount asking;
    const auto decisions =
      asking.mAccount.On(At(row.mAt), row.mCredit, kOwner, kStart);
    CHECK_EQUAL_TEXT(row.mDecided, decisions.size(), row.mName);
    if (!decisions.empty()) {
      CHECK_TEXT(decisions[0].mVerdict == row.mVerdict, row.mName);
      CHECK_EQUAL_TEXT(
        row.mRetryMs, ToMilliseconds(decisions[0].mRetryAfter), row.mName);
    }
  }
}

TEST(QuotaCredit, CreditIsSpentWithoutAQuestionUntilItLapses)
{
  AskingAccount asking;
  asking.mAccount.On(At(5), Credit(30), kOwner, kStart);
  CHECK_EQUAL(20, asking.mAccount.Units());
  CHECK(Take(asking.mAccount, 100, 10) == QuotaVerdict::kGranted);
  CHECK(Take(asking.mAccount, 400, 10) == QuotaVerdict::kWaits);
  const auto need =
    asking.mAccount.NextNeed(At(400), kOwner, Plan(), kInterval);
  CHECK_EQUAL(10, need->mReturned);
  CHECK_EQUAL(10, need->mWanted);
}

TEST(QuotaCredit, OnlyTheLenderGetsUnitsBack)
{
  AskingAccount asking;
  asking.mAccount.On(At(5), Credit(30), kOwner, kStart);
  asking.mAccount.Expire(At(500));
  const auto need =
    asking.mAccount.NextNeed(At(500), kNextOwner, Plan(), kInterval);
  CHECK_EQUAL(0, need ? need->mReturned : 0);
}

TEST(QuotaCredit, RefusesWithoutAQuestionWhileThereIsNothing)
{
  AskingAccount asking;
  asking.mAccount.On(
    At(5), Credit(0, Milliseconds(100), Milliseconds(600)), kOwner, kStart);
  const QuotaDecision refused = asking.mAccount.Take(At(50), 2, 10, At(2000));
  CHECK(refused.mVerdict == QuotaVerdict::kOverLimit);
  CHECK_EQUAL(555, ToMilliseconds(refused.mRetryAfter));
  CHECK_FALSE(
    asking.mAccount.NextNeed(At(60), kOwner, Plan(), kInterval).has_value());
  CHECK(Take(asking.mAccount, 105, 10) == QuotaVerdict::kWaits);
}

TEST(QuotaCredit, UnitsOfARequestThatDidNotRunAreUsedAgain)
{
  struct Row
  {
    std::int64_t mAt;
    QuotaVerdict mExpected;
  };
  const Row kRows[] = { { 100, QuotaVerdict::kGranted },
                        { 399, QuotaVerdict::kGranted },
                        { 405, QuotaVerdict::kWaits } };
  for (const Row& row : kRows) {
    AskingAccount asking;
    asking.mAccount.On(At(5), Credit(10), kOwner, kStart);
    asking.mAccount.GiveBack(At(row.mAt), 10, At(405));
    CHECK(Take(asking.mAccount, row.mAt, 10) == row.mExpected);
  }
}

TEST(QuotaCredit, WaitEndsWithoutAnAnswer)
{
  AskingAccount asking;
  CHECK(asking.mAccount.Expire(At(1999)).empty());
  const auto decisions = asking.mAccount.Expire(At(2000));
  CHECK_EQUAL(1U, decisions.size());
  CHECK(decisions[0].mVerdict == QuotaVerdict::kUnconfirmed);
}

TEST(QuotaCredit, WaitEndsWithTheRequestOrTheQuota)
{
  AskingAccount left;
  left.mAccount.Leave(1);
  CHECK(left.mAccount.On(At(5), Credit(10), kOwner, kStart).empty());
  AskingAccount removed;
  CHECK(removed.mAccount.GrantAll()[0].mVerdict == QuotaVerdict::kGranted);
}

TEST(QuotaCredit, AsksAheadByRecentDemandForWholeRequests)
{
  struct Row
  {
    std::int64_t mUnits;
    int mRequests; ///< Ten milliseconds apart.
    Duration mInterval;
    bool mAsksAhead;
  };
  const Row kRows[] = { { 1, 20, kInterval, true },
                        { 1, 1, kInterval, false },
                        { 50, 1, kInterval, false },
                        { 1, 20, Duration{}, false } };
  for (const Row& row : kRows) {
    QuotaCreditAccount account;
    for (int n = 0; n < row.mRequests; ++n) {
      account.Take(At(std::int64_t{ 10 } * n), n, row.mUnits, At(9000));
    }
    const auto need = account.NextNeed(At(200), kOwner, Plan(), row.mInterval);
    CHECK_EQUAL(row.mUnits * row.mRequests, need->mWanted);
    CHECK_EQUAL(row.mAsksAhead, need->mAhead > 0);
  }
}
