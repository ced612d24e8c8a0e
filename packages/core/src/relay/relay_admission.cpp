#include "heatherfork/detail/relay/head_check.h"
#include "heatherfork/detail/relay/relay_requests.h"

/// Admission of requests by the key of their workspace.
namespace heatherfork::detail {

bool
RelayRequests::AdmitKey(RelayContext& aContext, OpenRequest& aRequest)
{
  aRequest.mRank = aRequest.mRoute.mRank;
  aRequest.mHasWorkspaces = mWorkspaces.NeedsKeys();
  if (!aRequest.mHasWorkspaces) {
    return true;
  }
  const RoutedWorkspace* workspace =
    mWorkspaces.Find(aRequest.mRequest.mKeyDigest);
  if (workspace != nullptr) {
    aRequest.mWorkspace = workspace->mName;
    aRequest.mRank = workspace->mRank.value_or(aRequest.mRank);
    return true;
  }
  if (aRequest.mRoute.mIsAnonymous) {
    return true;
  }
  Refuse(aContext, aRequest, NoKeyError(aRequest.mRequest), {});
  return false;
}

} // namespace heatherfork::detail
