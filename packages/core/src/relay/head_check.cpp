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

} // namespace heatherfork::detail
