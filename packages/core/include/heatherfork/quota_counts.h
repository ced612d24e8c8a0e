#pragma once

#include <cstdint>

#include "heatherfork/ids.h"

/// Use of quotas, for the metrics.
namespace heatherfork {

/// Units of a workspace at one node since there is demand.
struct QuotaCounts
{
  WorkspaceName mWorkspace;
  std::int64_t mLent = 0; ///< To this node.
  std::int64_t mUsed = 0;
  std::int64_t mReturned = 0; ///< Lent and not used.
  std::int64_t mRefused = 0;

  auto operator<=>(const QuotaCounts&) const = default;
};

} // namespace heatherfork
