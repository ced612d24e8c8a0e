#include "heatherfork/detail/relay/head_check.h"

namespace heatherfork::detail {

Error
NoRouteError(const RelayRequest& aRequest)
{
  return { ErrorCode::kNotFound,
           "no route for host \"" + aRequest.mHost + "\" and path \"" +
             aRequest.mPath + "\"" };
}

Error
NoKeyError(const RelayRequest& aRequest)
{
  return { ErrorCode::kUnauthorized,
           aRequest.mKeyDigest.empty()
             ? "the request names no key"
             : "no workspace holds the key of the request" };
}

std::optional<Error>
HeadCheck::FindError(const RoutingPtr& aRouting, const RelayRequest& aRequest)
{
  if (aRouting == nullptr) {
    return std::nullopt;
  }
  if (mRouting != aRouting) {
    mRouting = aRouting;
    mRoutes.Update(aRouting);
    mWorkspaces.Update(aRouting);
  }
  const Route* route = mRoutes.Find(aRequest.mHost, aRequest.mPath);
  if (route == nullptr) {
    return NoRouteError(aRequest);
  }
  const bool isKnown = !mWorkspaces.NeedsKeys() || route->mIsAnonymous ||
                       mWorkspaces.Find(aRequest.mKeyDigest) != nullptr;
  return isKnown ? std::nullopt : std::optional(NoKeyError(aRequest));
}

} // namespace heatherfork::detail
