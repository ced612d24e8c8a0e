#include "heatherfork/detail/scheduling/isolation.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

std::size_t
PendingWork(const ServerState& aState)
{
  return static_cast<std::size_t>(aState.HeldSlots()) + aState.PendingSteps();
}

ServerStatePtr
LeastLoaded(const std::vector<ServerStatePtr>& aServers,
            Role aRole,
            const PlaceRequest& aSuspect)
{
  ServerStatePtr best;
  const auto& excluded = aSuspect.mExcluded;
  for (const ServerStatePtr& state : aServers) {
    const BackendServer& server = state->Server();
    const bool isExcluded =
      std::find(excluded.begin(), excluded.end(), server.mName) !=
      excluded.end();
    if (server.mRole != aRole || server.mLeaving || isExcluded) {
      continue;
    }
    if (best == nullptr || PendingWork(*state) < PendingWork(*best)) {
      best = state;
    }
  }
  return best;
}

} // namespace

bool
Isolation::Begin(const std::vector<ServerStatePtr>& aServers,
                 const PlaceRequest& aSuspect)
{
  if (mSuspect.has_value()) {
    return *mSuspect == aSuspect.mAttempt;
  }
  const bool isPlain = aSuspect.mKind == RequestKind::kPlainCall;
  mServer =
    LeastLoaded(aServers, isPlain ? Role::kPlain : Role::kDecode, aSuspect);
  mPrefill =
    isPlain ? nullptr : LeastLoaded(aServers, Role::kPrefill, aSuspect);
  if (mServer == nullptr || (!isPlain && mPrefill == nullptr)) {
    return false;
  }
  mSuspect = aSuspect.mAttempt;
  mServer->mIsIsolated = true;
  if (mPrefill != nullptr) {
    mPrefill->mIsIsolated = true;
  }
  return true;
}

bool
Isolation::IsReady(const AttemptId& aSuspect) const
{
  return mSuspect == aSuspect && PendingWork(*mServer) == 0 &&
         (mPrefill == nullptr || PendingWork(*mPrefill) == 0);
}

void
Isolation::End(const AttemptId& aSuspect)
{
  if (mSuspect != aSuspect) {
    return;
  }
  mSuspect.reset();
  mServer->mIsIsolated = false;
  if (mPrefill != nullptr) {
    mPrefill->mIsIsolated = false;
  }
}

} // namespace heatherfork::detail
