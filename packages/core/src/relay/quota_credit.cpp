#include "heatherfork/detail/relay/quota_credit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heatherfork::detail {

namespace {

constexpr Duration kAnswerTimeout = Milliseconds(250);
constexpr Duration kMinRetryAfter = Milliseconds(100);
constexpr Duration kMaxEmptyTime = Milliseconds(250);
constexpr Duration kDemandTime = Milliseconds(500); ///< Then it has ended.
constexpr double kDemandSeconds = 0.5;
constexpr Duration kIdleTime = Milliseconds(60000);

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

std::int64_t
QuotaCreditAccount::Units() const
{
  std::int64_t sum = 0;
  for (const Credit& credit : mCredits) {
    sum += credit.mUnits;
  }
  return sum;
}

double
QuotaCreditAccount::DemandRate(Instant aNow) const
{
  return mDemand * std::exp(-ToSeconds(aNow - mDemandAt) / kDemandSeconds) /
         kDemandSeconds;
}

QuotaDecision
QuotaCreditAccount::Take(Instant aNow,
                         CallerId aCaller,
                         std::int64_t aUnits,
                         Instant aUntil)
{
  mDemand = DemandRate(aNow) * kDemandSeconds + static_cast<double>(aUnits);
  mDemandAt = aNow;
  mLastUnits = aUnits;
  Lapse(aNow);
  if (mWaiting.empty() && Spend(aNow, aUnits)) {
    return { aCaller, QuotaVerdict::kGranted, {} };
  }
  const Waiting waiting{ aCaller, aUnits, aUntil };
  if (aNow < mEmptyUntil) {
    return RefusalOf(aNow, waiting);
  }
  mWaiting.push_back(waiting);
  return { aCaller, QuotaVerdict::kWaits, {} };
}

QuotaDecision
QuotaCreditAccount::RefusalOf(Instant aNow, const Waiting& aWaiting)
{
  mCounts.mRefused += aWaiting.mUnits;
  return { aWaiting.mCaller,
           QuotaVerdict::kOverLimit,
           std::max(kMinRetryAfter,
                    std::max(mBacklogUntil, mEmptyUntil) - aNow) };
}

bool
QuotaCreditAccount::Spend(Instant aNow, std::int64_t aUnits)
{
  std::int64_t usable = 0;
  for (const Credit& credit : mCredits) {
    usable += credit.mValidUntil > aNow ? credit.mUnits : 0;
  }
  if (usable < aUnits) {
    return false;
  }
  mCounts.mUsed += aUnits;
  std::int64_t left = aUnits;
  for (Credit& credit : mCredits) {
    const std::int64_t taken = std::min(left, credit.mUnits);
    credit.mUnits -= taken;
    left -= taken;
  }
  std::erase_if(mCredits,
                [](const Credit& aCredit) { return aCredit.mUnits == 0; });
  return true;
}

void
QuotaCreditAccount::Leave(CallerId aCaller)
{
  std::erase_if(mWaiting, [aCaller](const Waiting& aWaiting) {
    return aWaiting.mCaller == aCaller;
  });
}

void
QuotaCreditAccount::GiveBack(Instant aNow,
                             std::int64_t aUnits,
                             Instant aValidUntil)
{
  if (aValidUntil <= aNow) {
    return;
  }
  mCounts.mUsed -= aUnits;
  mCredits.push_front({ aUnits, aValidUntil, NodeId{} });
  std::sort(mCredits.begin(),
            mCredits.end(),
            [](const Credit& aOne, const Credit& aTwo) {
              return aOne.mValidUntil < aTwo.mValidUntil;
            });
}

// Only the node that lent units may lend them again.
void
QuotaCreditAccount::ReturnUnused(Credit& aCredit)
{
  if (aCredit.mLender.mIncarnation == 0) {
    return;
  }
  if (mLender != aCredit.mLender) {
    mLender = aCredit.mLender;
    mReturned = 0;
  }
  mReturned += aCredit.mUnits;
  mCounts.mReturned += aCredit.mUnits;
}

void
QuotaCreditAccount::Lapse(Instant aNow)
{
  while (!mCredits.empty() && mCredits.front().mValidUntil <= aNow) {
    ReturnUnused(mCredits.front());
    mCredits.pop_front();
  }
}

bool
QuotaCreditAccount::IsActive(Instant aNow) const
{
  return !mWaiting.empty() || mReturned > 0 || aNow - mDemandAt < kDemandTime;
}

std::optional<QuotaNeed>
QuotaCreditAccount::NextNeed(Instant aNow,
                             const NodeId& aOwner,
                             const QuotaPlan& aPlan,
                             Duration aInterval)
{
  if (aOwner.mIncarnation == 0 ||
      aNow - mAskedAt < (mIsAsked ? kAnswerTimeout : aInterval)) {
    return std::nullopt;
  }
  Lapse(aNow);
  QuotaNeed need;
  const std::int64_t held = Units();
  for (const Waiting& waiting : mWaiting) {
    need.mWanted += waiting.mUnits;
    need.mSmallest = need.mSmallest == 0
                       ? waiting.mUnits
                       : std::min(need.mSmallest, waiting.mUnits);
  }
  need.mWanted = std::max(std::int64_t{ 0 }, need.mWanted - held);
  const auto expected =
    static_cast<std::int64_t>(DemandRate(aNow) * ToSeconds(aPlan.mLifetime));
  // Less than a whole request would lie unused.
  if (aInterval > Duration{} && aNow >= mEmptyUntil && expected >= mLastUnits &&
      held < expected / 2) {
    need.mAhead = expected - (need.mWanted > 0 ? 0 : held);
  }
  if (mLender != aOwner) {
    mReturned = 0;
  }
  need.mReturned = std::exchange(mReturned, 0);
  if (need.mWanted == 0 && need.mAhead == 0 && need.mReturned == 0) {
    return std::nullopt;
  }
  mAskedAt = aNow;
  mIsAsked = true;
  return need;
}

std::vector<QuotaDecision>
QuotaCreditAccount::On(Instant aNow,
                       const QuotaCredit& aCredit,
                       const NodeId& aLender,
                       Instant aSentAt)
{
  mIsAsked = mIsAsked && aSentAt != mAskedAt;
  mCounts.mLent += aCredit.mUnits;
  if (aCredit.mUnits > 0) {
    mCredits.push_back(
      { aCredit.mUnits, aSentAt + aCredit.mLifetime, aLender });
  }
  Lapse(aNow);
  std::vector<QuotaDecision> decisions = ServeWaiting(aNow);
  if (aCredit.mWait == Duration{}) {
    return decisions;
  }
  mEmptyUntil = aNow + std::min(aCredit.mWait, kMaxEmptyTime);
  mBacklogUntil = aNow + aCredit.mBacklog;
  if (mWaiting.empty()) {
    return decisions;
  }
  for (const Waiting& waiting : mWaiting) {
    decisions.push_back(RefusalOf(aNow, waiting));
  }
  mWaiting.clear();
  // What was too little for any of them can serve another node.
  for (Credit& credit : mCredits) {
    ReturnUnused(credit);
  }
  mCredits.clear();
  return decisions;
}

std::vector<QuotaDecision>
QuotaCreditAccount::ServeWaiting(Instant aNow)
{
  std::vector<QuotaDecision> decisions;
  std::erase_if(mWaiting, [&](const Waiting& aWaiting) {
    if (!Spend(aNow, aWaiting.mUnits)) {
      return false;
    }
    decisions.push_back({ aWaiting.mCaller, QuotaVerdict::kGranted, {} });
    return true;
  });
  return decisions;
}

std::vector<QuotaDecision>
QuotaCreditAccount::Expire(Instant aNow)
{
  Lapse(aNow);
  std::vector<QuotaDecision> decisions = ServeWaiting(aNow);
  std::erase_if(mWaiting, [&](const Waiting& aWaiting) {
    if (aWaiting.mUntil > aNow) {
      return false;
    }
    mCounts.mRefused += aWaiting.mUnits;
    decisions.push_back(
      { aWaiting.mCaller, QuotaVerdict::kUnconfirmed, kMinRetryAfter });
    return true;
  });
  return decisions;
}

std::vector<QuotaDecision>
QuotaCreditAccount::GrantAll()
{
  std::vector<QuotaDecision> decisions;
  for (const Waiting& waiting : mWaiting) {
    decisions.push_back({ waiting.mCaller, QuotaVerdict::kGranted, {} });
  }
  mWaiting.clear();
  return decisions;
}

bool
QuotaCreditAccount::IsIdle(Instant aNow) const
{
  return mWaiting.empty() && mCredits.empty() && mReturned == 0 &&
         aNow - mDemandAt > kIdleTime;
}

} // namespace heatherfork::detail
