#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "heatherfork/ids.h"
#include "heatherfork/relay_settings.h"

/// This node's share of the retry budgets of services.
namespace heatherfork::detail {

/// Part of the slack that a node may spend, in 0 to 1. aShares: processor
/// shares of all nodes by address, this node included; aOwnShare: that of this
/// node. The parts of all nodes add up to 1 at most.
double
RetryBudgetShare(const std::map<Address, std::uint32_t>& aShares,
                 std::uint32_t aOwnShare);

/// The retry budget of a service covers all nodes. Each node spends the ratio
/// of its own requests and its part of the slack, so that the sum stays within
/// the budget without communication between nodes.
class ServiceRetryBudget
{
public:
  void OnRequest(Instant aNow, const ServiceName& aService);

  /// Whether the budget allows a retry that makes aCalls calls.
  bool CanSpend(Instant aNow,
                const RelaySettings& aSettings,
                const ServiceName& aService,
                double aSlackShare,
                int aCalls);

  /// Charges a retry that makes aCalls calls; false when the budget is
  /// exhausted.
  bool TrySpend(Instant aNow,
                const RelaySettings& aSettings,
                const ServiceName& aService,
                double aSlackShare,
                int aCalls);

private:
  struct Window
  {
    std::deque<Instant> mRequests;
    std::deque<Instant> mRetries;
  };

  std::map<ServiceName, Window> mWindows;
};

} // namespace heatherfork::detail
