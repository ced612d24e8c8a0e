#include "heatherfork/detail/relay/service_retry_budget.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// A restarted node has no record of what it spent. Half of the slack is used,
// so that two incarnations of each node within one window stay below the limit.
constexpr double kSlackFraction = 0.5;

// The budget rule counts requests over a window that may be offset from this
// node's window; the margin covers requests at its edges.
constexpr double kRatioFraction = 0.8;

// Part of the slack for the nodes with large processor shares.
constexpr double kEntriesFraction = 0.8;

void
EvictBefore(std::deque<Instant>& aTimes, Instant aSince)
{
  while (!aTimes.empty() && aTimes.front() < aSince) {
    aTimes.pop_front();
  }
}

} // namespace

// Where some nodes have large processor shares, callers use these (see
// EntryAddresses), so they get most of the slack. The others keep a part, for
// callers that still know them.
double
RetryBudgetShare(const std::map<Address, std::uint32_t>& aShares,
                 std::uint32_t aOwnShare)
{
  std::uint32_t largest = aOwnShare;
  for (const auto& [address, share] : aShares) {
    largest = std::max(largest, share);
  }
  const auto isLarge = [largest](std::uint32_t aShare) {
    return aShare >= largest - largest / 2;
  };
  const auto large = static_cast<double>(
    std::count_if(aShares.begin(), aShares.end(), [&](const auto& aItem) {
      return isLarge(aItem.second);
    }));
  const auto all =
    static_cast<double>(std::max<std::size_t>(1, aShares.size()));
  if (large == 0 || large == all) {
    return 1 / all;
  }
  return isLarge(aOwnShare) ? kEntriesFraction / large
                            : (1 - kEntriesFraction) / (all - large);
}

void
ServiceRetryBudget::OnRequest(Instant aNow, const ServiceName& aService)
{
  mWindows[aService].mRequests.push_back(aNow);
}

bool
ServiceRetryBudget::CanSpend(Instant aNow,
                             const RelaySettings& aSettings,
                             const ServiceName& aService,
                             double aSlackShare,
                             int aCalls)
{
  Window& window = mWindows[aService];
  EvictBefore(window.mRequests, aNow - aSettings.mRetryWindow);
  EvictBefore(window.mRetries, aNow - aSettings.mRetryWindow);
  const double allowed = kRatioFraction * aSettings.mRetryRatio *
                           static_cast<double>(window.mRequests.size()) +
                         kSlackFraction * aSettings.mRetrySlack * aSlackShare;
  return static_cast<double>(window.mRetries.size()) + aCalls <= allowed;
}

bool
ServiceRetryBudget::TrySpend(Instant aNow,
                             const RelaySettings& aSettings,
                             const ServiceName& aService,
                             double aSlackShare,
                             int aCalls)
{
  if (!CanSpend(aNow, aSettings, aService, aSlackShare, aCalls)) {
    return false;
  }
  std::deque<Instant>& retries = mWindows[aService].mRetries;
  retries.insert(retries.end(), static_cast<std::size_t>(aCalls), aNow);
  return true;
}

} // namespace heatherfork::detail
