#include "heatherfork/detail/relay/quota_plan.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// An answer to a question must arrive within the lifetime that it names.
constexpr Duration kMinLifetime = Milliseconds(100);
constexpr Duration kMaxLifetime = Milliseconds(1000);

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

// Credit is used up to one lifetime after it was lent, and a refund of it is
// used up to another one later. So a window can hold the burst, the excess and
// the refill of a window and two lifetimes, all times one plus the margin.
QuotaPlan
MakeQuotaPlan(const WorkspaceQuota& aQuota, const RelaySettings& aSettings)
{
  constexpr double kMarginPart = 0.5;
  constexpr double kExcessPart = 1.0 / 3;
  constexpr double kLifetimePart = 1.0 / 3; // Twice.
  QuotaPlan plan;
  plan.mRate = aQuota.mRate;
  plan.mBurst = aQuota.mBurst;
  const double limit =
    aQuota.mRate * ToSeconds(aSettings.mQuotaWindow) + aQuota.mBurst;
  const double tolerance = aSettings.mQuotaOvershoot * limit +
                           static_cast<double>(aSettings.mQuotaSlack);
  plan.mPartMargin = limit > 0 ? kMarginPart * tolerance / limit : 0;
  const double rest = (1 - kMarginPart) * tolerance / (1 + plan.mPartMargin);
  plan.mExcess = kExcessPart * rest;
  const double lifetime =
    aQuota.mRate > 0 ? kLifetimePart * rest / aQuota.mRate : 0;
  plan.mLifetime = lifetime >= ToSeconds(kMaxLifetime)
                     ? kMaxLifetime
                     : std::max(kMinLifetime,
                                std::chrono::duration_cast<Duration>(
                                  std::chrono::duration<double>(lifetime)));
  return plan;
}

std::int64_t
UnitsOf(const WorkspaceQuota& aQuota, const RelayRequest& aRequest)
{
  if (aQuota.mUnit == QuotaUnit::kRequests) {
    return 1;
  }
  return aRequest.mNamesTokens
           ? std::int64_t{ aRequest.mPromptTokens } + aRequest.mMaxTokens
           : aQuota.mPlainTokens;
}

} // namespace heatherfork::detail
