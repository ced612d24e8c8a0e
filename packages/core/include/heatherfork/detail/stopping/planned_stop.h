#pragma once

#include <optional>

#include "heatherfork/detail/context.h"
#include "heatherfork/detail/requests/request_reducer.h"

/// Graceful shutdown of a node.
namespace heatherfork::detail {

/// Keeps a leaving node serving until all entries that name it have expired and
/// no request or cancel is pending. Then the process exits.
class PlannedStop
{
public:
  void On(Context& aContext, const StopRequested& aRequested);
  void On(Context& aContext,
          const TimerFired& aTimer,
          RequestReducer& aRequests);

  bool IsRequested() const { return mRequestedAt.has_value(); }

private:
  std::optional<Instant> mRequestedAt;
  bool mHasExited = false;
};

} // namespace heatherfork::detail
