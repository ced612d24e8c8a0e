#include "heatherfork/detail/relay/head_check.h"
#include "heatherfork/detail/relay/pools.h"
#include "heatherfork/detail/relay/relay_log.h"
#include "heatherfork/detail/relay/relay_requests.h"

/// Admission of requests by the key of their workspace.
namespace heatherfork::detail {

namespace {

std::string
UnconfirmedText(std::optional<Duration> aAge)
{
  return aAge ? "the store has not confirmed the keys for " +
                  std::to_string(ToMilliseconds(*aAge)) + " ms"
              : "the store has not confirmed the keys yet";
}

} // namespace

std::optional<Error>
RelayRequests::HeadError(const RelaySettings& aSettings,
                         Instant aNow,
                         const RelayRequest& aRequest) const
{
  if (!mRoutes.IsKnown()) {
    return std::nullopt;
  }
  const Route* route = mRoutes.Find(aRequest.mHost, aRequest.mPath);
  if (route == nullptr) {
    return NoRouteError(aRequest);
  }
  // Without a proof the refusal is another one, and only for now.
  const bool mayBeKnown = !mWorkspaces.NeedsKeys() || route->mIsAnonymous ||
                          mWorkspaces.Find(aRequest.mKeyDigest) != nullptr ||
                          !mKeyProof.IsCurrent(aSettings, aNow);
  return mayBeKnown ? std::nullopt : std::optional(NoKeyError(aRequest));
}

std::optional<Error>
RelayRequests::FindWorkspace(RelayContext& aContext,
                             OpenRequest& aRequest) const
{
  aRequest.mHasWorkspaces = mWorkspaces.NeedsKeys();
  aRequest.mWorkspace = WorkspaceName{};
  if (!aRequest.mHasWorkspaces) {
    return std::nullopt;
  }
  const RoutedWorkspace* workspace =
    mWorkspaces.Find(aRequest.mRequest.mKeyDigest);
  if (workspace != nullptr) {
    aRequest.mWorkspace = workspace->mName;
  }
  if (aRequest.mRoute.mIsAnonymous) {
    return std::nullopt;
  }
  // A node that may lack the newest keys doesn't know either that nobody holds
  // this one.
  if (!mKeyProof.IsCurrent(aContext.mSettings, aContext.Now())) {
    return Error{ ErrorCode::kKeysUnconfirmed,
                  UnconfirmedText(mKeyProof.Age(aContext.Now())) };
  }
  if (workspace != nullptr) {
    return std::nullopt;
  }
  return NoKeyError(aRequest.mRequest);
}

bool
RelayRequests::AdmitKey(RelayContext& aContext, OpenRequest& aRequest)
{
  aRequest.mRank = aRequest.mRoute.mRank;
  if (std::optional<Error> error = FindWorkspace(aContext, aRequest)) {
    const bool isTemporary = error->mCode == ErrorCode::kKeysUnconfirmed;
    Refuse(aContext,
           aRequest,
           std::move(*error),
           isTemporary ? kMinRetryAfter : Duration{});
    return false;
  }
  if (aRequest.mHasWorkspaces) {
    const RoutedWorkspace* workspace =
      mWorkspaces.Find(aRequest.mRequest.mKeyDigest);
    aRequest.mRank =
      RankWithWorkspace(aRequest.mRoute.mRank,
                        workspace == nullptr ? std::nullopt : workspace->mRank);
  }
  return true;
}

bool
RelayRequests::ConfirmKey(RelayContext& aContext, OpenRequest& aRequest)
{
  aRequest.mSendBefore = Instant{};
  if (std::optional<Error> error = FindWorkspace(aContext, aRequest)) {
    GiveUpKey(aContext, aRequest, std::move(*error));
    return false;
  }
  if (aRequest.mHasWorkspaces && !aRequest.mRoute.mIsAnonymous) {
    aRequest.mSendBefore =
      mKeyProof.SendLimit(aContext.mSettings).value_or(Instant{});
  }
  return true;
}

void
RelayRequests::GiveUpKey(RelayContext& aContext,
                         OpenRequest& aRequest,
                         Error aError)
{
  const std::string message = aError.mMessage;
  const bool isTemporary = aError.mCode == ErrorCode::kKeysUnconfirmed;
  GiveUp(aContext,
         aRequest,
         std::move(aError),
         isTemporary ? kMinRetryAfter : Duration{},
         { ErrorCode::kOutcomeUnknown, message });
}

// The replica is not at fault, so it is neither excluded nor reported.
bool
RelayRequests::RefuseLapsedCall(RelayContext& aContext,
                                OpenRequest& aRequest,
                                const RelayCallEnded& aEnded)
{
  if (aEnded.mResult != RelayResult::kNotSent ||
      aRequest.mSendBefore == Instant{} ||
      aContext.Now() < aRequest.mSendBefore) {
    return false;
  }
  GiveUpKey(aContext,
            aRequest,
            { ErrorCode::kKeysUnconfirmed,
              "the request could not be sent while its key was confirmed" });
  return true;
}

void
RelayRequests::RefuseWithdrawnKeys(RelayContext& aContext)
{
  std::vector<CallerId> waiting;
  for (const auto& [caller, request] : mOpen) {
    if (request.mPhase == OpenRequest::Phase::kPlacing) {
      waiting.push_back(caller);
    }
  }
  for (const CallerId caller : waiting) {
    OpenRequest& request = *Find(caller);
    std::optional<Error> error = FindWorkspace(aContext, request);
    if (error && error->mCode == ErrorCode::kUnauthorized) {
      GiveUpKey(aContext, request, std::move(*error));
    }
  }
}

} // namespace heatherfork::detail
