#pragma once

#include <deque>
#include <map>

#include "heatherfork/ids.h"
#include "heatherfork/relay_settings.h"

/// This node's part of the budget for sending requests again.
namespace heatherfork::detail {

/// The budget belongs to a service over all nodes. Each node spends the ratio
/// of its own requests and an equal part of the slack, so that the sum stays
/// within the budget without a word between nodes.
class RetryShare
{
public:
  void OnRequest(Instant aNow, const ServiceName& aService);

  /// Takes a repeat that makes aCalls calls; false when the budget is spent.
  bool Take(Instant aNow,
            const RelaySettings& aSettings,
            const ServiceName& aService,
            std::size_t aNodes,
            int aCalls);

private:
  struct Window
  {
    std::deque<Instant> mRequests;
    std::deque<Instant> mRepeats;
  };

  std::map<ServiceName, Window> mWindows;
};

} // namespace heatherfork::detail
