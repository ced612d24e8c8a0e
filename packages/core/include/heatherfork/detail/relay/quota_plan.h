#pragma once

#include <cstdint>

#include "heatherfork/relay_settings.h"
#include "heatherfork/routing.h"

/// How the tolerance of a quota is used.
namespace heatherfork::detail {

/// What an owner of a quota may lend.
struct QuotaPlan
{
  double mRate = 0;   ///< Units a second.
  double mBurst = 0;  ///< As published.
  double mExcess = 0; ///< Lent on top of the burst.
  /// Added to 1 as a factor of the parts of nodes that can't see each other.
  double mPartMargin = 0;
  Duration mLifetime{}; ///< Of credit.

  auto operator<=>(const QuotaPlan&) const = default;
};

QuotaPlan
MakeQuotaPlan(const WorkspaceQuota& aQuota, const RelaySettings& aSettings);

/// What a quota counts for a request.
std::int64_t
UnitsOf(const WorkspaceQuota& aQuota, const RelayRequest& aRequest);

} // namespace heatherfork::detail
