#include "heatherfork/detail/relay/log_value.h"
#include "heatherfork/detail/relay/relay_log.h"
#include "heatherfork/detail/relay/relay_requests.h"

/// Admission of requests by the quota of their workspace.
namespace heatherfork::detail {

namespace {

using Phase = OpenRequest::Phase;

constexpr Duration kRefusalLogInterval = Milliseconds(1000);

} // namespace

bool
RelayRequests::AdmitQuota(RelayContext& aContext, OpenRequest& aRequest)
{
  const WorkspaceQuota* quota =
    aRequest.mWorkspace.Empty() ? nullptr : mQuotas.Find(aRequest.mWorkspace);
  if (quota == nullptr) {
    return true;
  }
  aRequest.mPhase = Phase::kAwaitingQuota;
  aRequest.mQuotaTaken.mUnits = UnitsOf(*quota, aRequest.mRequest);
  const QuotaDecision decision =
    mQuotas.Take(aContext.mShared,
                 aRequest.mWorkspace,
                 aRequest.mCaller,
                 aRequest.mQuotaTaken.mUnits,
                 aRequest.mExpiresAt - aContext.Now());
  return decision.mVerdict != QuotaVerdict::kWaits &&
         Apply(aContext, aRequest, decision);
}

bool
RelayRequests::Apply(RelayContext& aContext,
                     OpenRequest& aRequest,
                     const QuotaDecision& aDecision)
{
  if (aDecision.mVerdict == QuotaVerdict::kGranted) {
    aRequest.mPhase = Phase::kPlacing;
    aRequest.mQuotaTaken = mQuotas.Taken(
      aContext.Now(), aRequest.mWorkspace, aRequest.mQuotaTaken.mUnits);
    return true;
  }
  const bool isOver = aDecision.mVerdict == QuotaVerdict::kOverLimit;
  LogQuotaRefusal(aContext, aRequest, aDecision);
  const std::string workspace = "workspace \"" + aRequest.mWorkspace.mValue;
  aRequest.mQuotaTaken = {};
  Refuse(aContext,
         aRequest,
         isOver ? Error{ ErrorCode::kQuotaExceeded,
                         workspace + "\" has used its quota" }
                : Error{ ErrorCode::kBackendServerBusy,
                         workspace + "\" has a quota that no node confirms" },
         aDecision.mRetryAfter);
  return false;
}

void
RelayRequests::LogQuotaRefusal(RelayContext& aContext,
                               const OpenRequest& aRequest,
                               const QuotaDecision& aDecision)
{
  Instant& loggedAt = mQuotaLoggedAt[aRequest.mWorkspace];
  if (loggedAt != Instant{} &&
      aContext.Now() - loggedAt < kRefusalLogInterval) {
    return;
  }
  loggedAt = aContext.Now();
  const WorkspaceQuota* quota = mQuotas.Find(aRequest.mWorkspace);
  LogRequestEvent(
    aContext,
    "quota",
    aRequest,
    std::string(aDecision.mVerdict == QuotaVerdict::kOverLimit
                  ? "verdict=over"
                  : "verdict=unconfirmed") +
      " tenant=" + LogValue(aRequest.mWorkspace.mValue) +
      " units=" + std::to_string(aRequest.mQuotaTaken.mUnits) +
      " rate=" + std::to_string(quota == nullptr ? 0 : quota->mRate) +
      " burst=" + std::to_string(quota == nullptr ? 0 : quota->mBurst) +
      " held=" + std::to_string(mQuotas.HeldUnits(aRequest.mWorkspace)) +
      " owner=" + mQuotas.OwnerOf(aRequest.mWorkspace).mName.mValue +
      " wait_ms=" + std::to_string(ToMilliseconds(aDecision.mRetryAfter)));
}

void
RelayRequests::Resume(RelayContext& aContext,
                      const std::vector<WorkspaceDecision>& aDecisions)
{
  for (const WorkspaceDecision& item : aDecisions) {
    OpenRequest* request = Find(item.mDecision.mCaller);
    if (request == nullptr || request->mPhase != Phase::kAwaitingQuota) {
      continue;
    }
    if (!Apply(aContext, *request, item.mDecision) ||
        RefuseCrashingContent(aContext, *request)) {
      continue;
    }
    Place(aContext, *request, false);
  }
}

// Units that may have been used by a replica stay taken.
void
RelayRequests::SettleQuota(RelayContext& aContext, const OpenRequest& aRequest)
{
  if (aRequest.mPhase == Phase::kAwaitingQuota) {
    mQuotas.Leave(aRequest.mWorkspace, aRequest.mCaller);
  } else if (aRequest.mPossibleRuns == 0 && aRequest.mKvHolder.Empty()) {
    mQuotas.GiveBack(aContext.Now(), aRequest.mWorkspace, aRequest.mQuotaTaken);
  }
}

void
RelayRequests::UpdateQuotas(RelayContext& aContext, const RoutingPtr& aRouting)
{
  Resume(aContext, mQuotas.Update(aRouting, aContext.mSettings));
  std::erase_if(mQuotaLoggedAt, [this](const auto& aItem) {
    return mQuotas.Find(aItem.first) == nullptr;
  });
}

void
RelayRequests::On(RelayContext& aContext,
                  const NodeId& aFrom,
                  const QuotaRequest& aRequest)
{
  mQuotas.On(aContext.mShared, aFrom, aRequest);
}

void
RelayRequests::On(RelayContext& aContext,
                  const NodeId& aFrom,
                  const QuotaGrant& aGrant)
{
  Resume(aContext, mQuotas.On(aContext.mShared, aFrom, aGrant));
}

void
RelayRequests::OnQuotaTimer(RelayContext& aContext)
{
  if (mQuotas.Empty()) {
    return;
  }
  Resume(aContext, mQuotas.OnTimer(aContext.mShared));
  if (mQuotas.TakeOwnersChanged()) {
    aContext.Emit(
      RelayLogEntry{ "quota-owners",
                     "",
                     "owners=" + std::to_string(mQuotas.OwnerCount()) +
                       " buckets=" + std::to_string(mQuotas.Owned()) +
                       " part=" + std::to_string(mQuotas.Part()) });
  }
}

} // namespace heatherfork::detail
