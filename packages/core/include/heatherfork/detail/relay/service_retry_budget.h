#pragma once

#include <deque>
#include <map>

#include "heatherfork/ids.h"
#include "heatherfork/relay_settings.h"

/// This node's share of the retry budgets of services.
namespace heatherfork::detail {

/// The retry budget of a service covers all nodes. Each node spends the ratio
/// of its own requests and an equal share of the slack, so that the sum stays
/// within the budget without communication between nodes.
class ServiceRetryBudget
{
public:
  void OnRequest(Instant aNow, const ServiceName& aService);

  /// Charges a retry that makes aCalls calls; false when the budget is
  /// exhausted.
  bool TrySpend(Instant aNow,
                const RelaySettings& aSettings,
                const ServiceName& aService,
                std::size_t aNodes,
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
