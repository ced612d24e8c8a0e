#include "heatherfork/detail/relay/retry_share.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// A node that has just restarted has forgotten what it spent: half of the slack
// is kept for two lives of each node in one window.
constexpr double kSlackSpent = 0.5;

// Requests are counted over the window of the rule, which may lie elsewhere
// than ours: a margin for the edge.
constexpr double kRatioSpent = 0.8;

void
DropOld(std::deque<Instant>& aTimes, Instant aSince)
{
  while (!aTimes.empty() && aTimes.front() < aSince) {
    aTimes.pop_front();
  }
}

} // namespace

void
RetryShare::OnRequest(Instant aNow, const ServiceName& aService)
{
  mWindows[aService].mRequests.push_back(aNow);
}

bool
RetryShare::Take(Instant aNow,
                 const RelaySettings& aSettings,
                 const ServiceName& aService,
                 std::size_t aNodes,
                 int aCalls)
{
  Window& window = mWindows[aService];
  DropOld(window.mRequests, aNow - aSettings.mRetryWindow);
  DropOld(window.mRepeats, aNow - aSettings.mRetryWindow);
  const double nodes = static_cast<double>(std::max<std::size_t>(aNodes, 1));
  const double allowed = kRatioSpent * aSettings.mRetryRatio *
                           static_cast<double>(window.mRequests.size()) +
                         kSlackSpent * aSettings.mRetrySlack / nodes;
  if (static_cast<double>(window.mRepeats.size()) + aCalls > allowed) {
    return false;
  }
  window.mRepeats.insert(
    window.mRepeats.end(), static_cast<std::size_t>(aCalls), aNow);
  return true;
}

} // namespace heatherfork::detail
