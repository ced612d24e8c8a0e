#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "heatherfork/ids.h"

/// The decisions on recent requests, for the admin interface.
namespace heatherfork::detail {

/// Keeps the decisions on a bounded number of requests; evicts the oldest
/// request first. Thread-safe.
class DecisionLog
{
public:
  void Add(CallerId aCaller, std::string aText);

  /// Returns the decisions on a request in order; empty when none are kept.
  std::vector<std::string> Find(CallerId aCaller) const;

private:
  static constexpr std::size_t kMaxRequests = 1000;
  static constexpr std::size_t kMaxDecisions = 50;

  mutable std::mutex mMutex;
  std::map<CallerId, std::vector<std::string>> mDecisions;
  std::deque<CallerId> mInsertionOrder;
};

} // namespace heatherfork::detail
