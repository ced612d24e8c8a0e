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

void
EvictBefore(std::deque<Instant>& aTimes, Instant aSince)
{
  while (!aTimes.empty() && aTimes.front() < aSince) {
    aTimes.pop_front();
  }
}

} // namespace

void
ServiceRetryBudget::OnRequest(Instant aNow, const ServiceName& aService)
{
  mWindows[aService].mRequests.push_back(aNow);
}

bool
ServiceRetryBudget::TrySpend(Instant aNow,
                             const RelaySettings& aSettings,
                             const ServiceName& aService,
                             std::size_t aNodes,
                             int aCalls)
{
  Window& window = mWindows[aService];
  EvictBefore(window.mRequests, aNow - aSettings.mRetryWindow);
  EvictBefore(window.mRetries, aNow - aSettings.mRetryWindow);
  const double nodes = static_cast<double>(std::max<std::size_t>(aNodes, 1));
  const double allowed = kRatioFraction * aSettings.mRetryRatio *
                           static_cast<double>(window.mRequests.size()) +
                         kSlackFraction * aSettings.mRetrySlack / nodes;
  if (static_cast<double>(window.mRetries.size()) + aCalls > allowed) {
    return false;
  }
  window.mRetries.insert(
    window.mRetries.end(), static_cast<std::size_t>(aCalls), aNow);
  return true;
}

} // namespace heatherfork::detail
