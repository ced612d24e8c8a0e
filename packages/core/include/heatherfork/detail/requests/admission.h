#pragma once

#include <optional>

#include "heatherfork/detail/requests/request_state.h"

/// Admission of incoming requests.
namespace heatherfork::detail {

/// A request with its waiter, which is either a caller or another node.
struct IncomingRequest
{
  Request mRequest;
  std::optional<Waiter> mWaiter;
  std::optional<RemoteWaiter> mRemoteWaiter;
};

/// Refuses a request, answers it from a record, joins it to an equal running
/// request, forwards it to its home, or starts it.
void
AdmitRequest(Context& aContext,
             RequestState& aState,
             const IncomingRequest& aIncoming);

} // namespace heatherfork::detail
