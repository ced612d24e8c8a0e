#include "heatherfork/detail/relay/quota_owner.h"

#include <algorithm>
#include <cmath>

namespace heatherfork::detail {

namespace {

// Callers come back within this time even if more than the rate is asked for
// all the time.
constexpr double kMaxBacklogSeconds = 2;
constexpr double kMaxWaitSeconds = 10;
constexpr Duration kIdleTime = Milliseconds(10000);

double
SecondsBetween(Instant aFrom, Instant aTo)
{
  return std::chrono::duration<double>(aTo - aFrom).count();
}

Duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::clamp(aSeconds, 0.0, kMaxWaitSeconds)));
}

// The most that whole requests of the smallest size can use.
std::int64_t
Lendable(double aLevel, const QuotaNeed& aNeed)
{
  const auto level = static_cast<std::int64_t>(std::floor(aLevel));
  if (aNeed.mWanted <= level) {
    return aNeed.mWanted;
  }
  const std::int64_t size = std::max(std::int64_t{ 1 }, aNeed.mSmallest);
  return std::max(std::int64_t{ 0 }, level / size * size);
}

} // namespace

QuotaCredit
QuotaOwner::Lend(Instant aNow,
                 const QuotaNeed& aNeed,
                 const QuotaPlan& aPlan,
                 double aPart,
                 Instant aOwnedSince)
{
  const double part = std::min(1.0, aPart * (1 + aPlan.mPartMargin));
  const double rate = aPlan.mRate * part;
  const double burst = aPlan.mBurst * part;
  const double capacity = burst + aPlan.mExcess * part;
  const auto [it, isNew] = mBuckets.try_emplace(aNeed.mWorkspace);
  Bucket& bucket = it->second;
  if (isNew) {
    bucket.mAt = std::min(aOwnedSince, aNow);
  }
  bucket.mLevel =
    std::min(capacity, bucket.mLevel + rate * SecondsBetween(bucket.mAt, aNow));
  bucket.mLevel =
    std::min(capacity, bucket.mLevel + static_cast<double>(aNeed.mReturned));
  bucket.mAt = aNow;
  bucket.mDroppableAt =
    aNow + std::max(kIdleTime, ToDuration(rate > 0 ? capacity / rate : 0));

  QuotaCredit credit;
  credit.mWorkspace = aNeed.mWorkspace;
  credit.mLifetime = aPlan.mLifetime;
  credit.mUnits = Lendable(bucket.mLevel, aNeed);
  const std::int64_t unmet = aNeed.mWanted - credit.mUnits;
  if (unmet <= 0) {
    // Credit that lies unused must not lower what one bucket over all nodes
    // would hold.
    const double excess =
      std::max(0.0, bucket.mLevel - static_cast<double>(credit.mUnits) - burst);
    credit.mUnits +=
      std::min(aNeed.mAhead, static_cast<std::int64_t>(std::floor(excess)));
    bucket.mLevel -= static_cast<double>(credit.mUnits);
    return credit;
  }
  bucket.mLevel -= static_cast<double>(credit.mUnits);
  const double lacking =
    static_cast<double>(std::clamp(aNeed.mSmallest, std::int64_t{ 1 }, unmet)) -
    bucket.mLevel;
  const double perUnit = rate > 0 ? 1 / rate : kMaxWaitSeconds;
  credit.mWait =
    std::max(Duration{ 1 }, ToDuration(std::max(0.0, lacking) * perUnit));
  bucket.mCoveredAt =
    std::min(std::max(bucket.mCoveredAt, aNow) +
               ToDuration(static_cast<double>(unmet) * perUnit),
             aNow + ToDuration(kMaxBacklogSeconds));
  credit.mBacklog = std::max(credit.mWait, bucket.mCoveredAt - aNow);
  return credit;
}

void
QuotaOwner::Retain(const std::function<bool(const WorkspaceName&)>& aIsOwned)
{
  std::erase_if(mBuckets,
                [&](const auto& aItem) { return !aIsOwned(aItem.first); });
}

void
QuotaOwner::DropIdle(Instant aNow)
{
  std::erase_if(mBuckets, [&](const auto& aItem) {
    return aItem.second.mDroppableAt <= aNow;
  });
}

} // namespace heatherfork::detail
