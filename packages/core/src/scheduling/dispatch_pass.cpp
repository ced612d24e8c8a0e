#include "heatherfork/detail/scheduling/dispatch_pass.h"

#include <algorithm>
#include <limits>

namespace heatherfork::detail {

namespace {

// Durations of plain calls vary by a multiple on replicas with noisy
// neighbours, so one long call is weak evidence of a slow server. Ejecting the
// server for it would take capacity from the other calls.
constexpr double kPlainCallSlownessFactor = 2.5;

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

bool
IsExcluded(const ServerState& aState, const PlaceRequest& aPlace)
{
  const auto& excluded = aPlace.mExcluded;
  return std::find(excluded.begin(), excluded.end(), aState.Server().mName) !=
         excluded.end();
}

int
CachedAt(const std::vector<CachedPrefix>& aCached, const ServerState& aState)
{
  for (const CachedPrefix& cached : aCached) {
    if (cached.mServer == aState.Server().mName) {
      return cached.mTokens;
    }
  }
  return 0;
}

} // namespace

DispatchPass::DispatchPass(const std::vector<ServerStatePtr>& aServers,
                           const TimeModel& aModel,
                           const PrefixHints& aHints,
                           const SchedulingSettings& aSettings,
                           double aLimitShare,
                           Instant aNow)
  : mModel(aModel)
  , mHints(aHints)
  , mSettings(aSettings)
  , mLimitShare(aLimitShare)
  , mNow(aNow)
{
  for (const ServerStatePtr& server : aServers) {
    AddServer(server);
  }
  AddLinks();
  EjectSlowServers();
}

void
DispatchPass::AddServer(const ServerStatePtr& aServer)
{
  const BackendServer& server = aServer->Server();
  if (server.mLeaving || aServer->mIsIsolated || aServer->IsBlocked(mNow)) {
    return;
  }
  const std::size_t zone = ZoneIndex(server.mZone);
  const double remembered = aServer->RememberedSlowness(mNow, mSettings);
  const int allowed = aServer->Limiter().Available(mNow, mLimitShare);
  if (server.mRole == Role::kPrefill) {
    mPrefill.push_back({ &aServer,
                         aServer->FreeAt(mNow, mSettings),
                         aServer->CurrentSlowness(mNow, mSettings),
                         remembered,
                         zone,
                         allowed });
    return;
  }
  mDecode.push_back({ &aServer,
                      aServer->Running(mNow, mSettings),
                      aServer->FreePieces(mNow, mSettings),
                      remembered,
                      false,
                      aServer->CanProbe(mNow, mSettings),
                      zone,
                      allowed });
}

// Ejects the slowest servers, which then receive only probes. The number is
// limited so that the extra load does not make the remaining servers slow.
void
DispatchPass::EjectSlowServers()
{
  std::vector<DecodeView*> slow;
  for (DecodeView& view : mDecode) {
    const bool isPlain = (*view.mState)->Server().mRole == Role::kPlain;
    const double threshold =
      isPlain ? mSettings.mStragglerThreshold * kPlainCallSlownessFactor
              : mSettings.mStragglerThreshold;
    if (view.mSlowness > threshold) {
      slow.push_back(&view);
    }
  }
  std::stable_sort(
    slow.begin(), slow.end(), [](const auto* aOne, const auto* aTwo) {
      return aOne->mSlowness > aTwo->mSlowness;
    });
  const std::size_t maxEjected =
    mDecode.size() * static_cast<std::size_t>(mSettings.mMaxEjectedPercent) /
    100;
  slow.resize(std::min(slow.size(), maxEjected));
  for (DecodeView* view : slow) {
    view->mIsEjected = true;
  }
}

std::size_t
DispatchPass::ZoneIndex(const ZoneName& aZone)
{
  const auto it = std::find(mZones.begin(), mZones.end(), aZone);
  if (it != mZones.end()) {
    return static_cast<std::size_t>(it - mZones.begin());
  }
  mZones.push_back(aZone);
  return mZones.size() - 1;
}

void
DispatchPass::AddLinks()
{
  for (const ZoneName& from : mZones) {
    for (const ZoneName& to : mZones) {
      mLinkSlowness.push_back(mModel.LinkSlowness(mNow, mSettings, from, to));
    }
  }
}

int
DispatchPass::BatchLimit(const DecodeView& aView) const
{
  const BackendServer& server = (*aView.mState)->Server();
  const int slots = std::max(1, server.mSlots);
  return server.mRole == Role::kDecode
           ? mModel.BatchLimit(mSettings, slots, aView.mSlowness)
           : slots;
}

bool
DispatchPass::HasCapacity(const DecodeView& aView,
                          int aPieces,
                          bool aMayUseEjected) const
{
  if (aView.mIsKept || aView.mFreePieces < aPieces ||
      aView.mRequestsAllowed <= 0) {
    return false;
  }
  if (aView.mIsEjected && !aMayUseEjected) {
    return aView.mCanProbe;
  }
  return aView.mRunning < std::max(1, BatchLimit(aView));
}

// A crash is evidence against each suspect on the server, so a sound one should
// not run beside another.
void
DispatchPass::KeepSuspectsApart(std::vector<const DecodeView*>& aCandidates)
{
  const auto hasSuspects = [](const DecodeView* aView) {
    return (*aView->mState)->HasSuspects();
  };
  if (!std::all_of(aCandidates.begin(), aCandidates.end(), hasSuspects)) {
    std::erase_if(aCandidates, hasSuspects);
  }
}

Choice
DispatchPass::Find(const QueuedRequest& aRequest) const
{
  const PlaceRequest& place = aRequest.mPlace;
  // Ejection shifts load to other servers, which may all be excluded.
  const bool mayUseEjected =
    std::all_of(mDecode.begin(), mDecode.end(), [&](const DecodeView& aView) {
      return aView.mIsEjected || IsExcluded(**aView.mState, place);
    });
  std::vector<const DecodeView*> candidates;
  for (const DecodeView& view : mDecode) {
    if (HasCapacity(view, aRequest.mPieces, mayUseEjected) &&
        !IsExcluded(**view.mState, place)) {
      candidates.push_back(&view);
    }
  }
  if (candidates.empty()) {
    return Choice{};
  }
  if (place.mIsSuspect) {
    KeepSuspectsApart(candidates);
  }
  if (place.mKind == RequestKind::kPlainCall) {
    return FindPlain(candidates);
  }
  std::vector<CachedPrefix> cached;
  if (mSettings.mUsePrefixHints && !place.mPrefixes.empty()) {
    cached = mHints.Find(mNow,
                         mSettings.mPrefixHintLifetime,
                         place.mPrefixes,
                         place.mPromptTokens);
  }
  ServerPair best;
  bool isBestInTime = false;
  for (const PrefillView& prefill : mPrefill) {
    if (IsExcluded(**prefill.mState, place) || prefill.mRequestsAllowed <= 0) {
      continue;
    }
    const ServerPair pair = BestPairFor(prefill,
                                        candidates,
                                        place.mPromptTokens,
                                        CachedAt(cached, **prefill.mState));
    const bool isInTime = IsInTime(pair, aRequest);
    const bool isBetter = isInTime != isBestInTime
                            ? isInTime
                            : pair.mFirstTokenAt < best.mFirstTokenAt;
    if (best.mPrefill == nullptr || isBetter) {
      best = pair;
      isBestInTime = isInTime;
    }
  }
  if (best.mPrefill == nullptr) {
    return Choice{};
  }
  return Choice{
    *best.mPrefill->mState, *best.mDecode->mState,  best.mWork,
    best.mCachedTokens,     best.mPrefill->mFreeAt, best.mFirstTokenAt
  };
}

DispatchPass::ServerPair
DispatchPass::BestPairFor(const PrefillView& aPrefill,
                          const std::vector<const DecodeView*>& aCandidates,
                          int aPromptTokens,
                          int aCachedTokens) const
{
  const int uncached = std::max(1, aPromptTokens - aCachedTokens);
  const Duration work = mModel.Prefill(uncached);
  const Instant prefilled = aPrefill.mFreeAt + Scaled(work, aPrefill.mSlowness);
  const Duration transfer = mModel.Transfer(aPromptTokens);
  const DecodeView* best = nullptr;
  Duration lowest{};
  for (const DecodeView* view : aCandidates) {
    const double link =
      mLinkSlowness[aPrefill.mZone * mZones.size() + view->mZone];
    const Duration step = mModel.FirstStep(view->mRunning + 1);
    const Duration decodeTime =
      Scaled(transfer, link) + Scaled(step, view->mSlowness);
    // A probe takes precedence over a faster server: without probes an ejected
    // server is never readmitted.
    const bool isProbe = view->mIsEjected;
    if (best == nullptr || isProbe ||
        (decodeTime < lowest && !best->mIsEjected)) {
      best = view;
      lowest = decodeTime;
    }
  }
  return ServerPair{ &aPrefill, best, work, aCachedTokens, prefilled + lowest };
}

// Assumes the remembered slowness of the prefill server. A server that was slow
// when last observed receives only prompts that meet their target even at that
// speed; they serve as its probes.
bool
DispatchPass::IsInTime(const ServerPair& aPair,
                       const QueuedRequest& aRequest) const
{
  const PrefillView& prefill = *aPair.mPrefill;
  const double extraSlowness =
    std::max(0.0, prefill.mRememberedSlowness - prefill.mSlowness);
  return aPair.mFirstTokenAt + Scaled(aPair.mWork, extraSlowness) <=
         aRequest.mPublished.mWantedAt;
}

Choice
DispatchPass::FindPlain(const std::vector<const DecodeView*>& aCandidates) const
{
  // The caller passes at least one candidate.
  const DecodeView* best = aCandidates.front();
  double lowest = std::numeric_limits<double>::max();
  for (const DecodeView* view : aCandidates) {
    const int slots = std::max(1, (*view->mState)->Server().mSlots);
    const double load = (view->mRunning + 1.0) / slots * view->mSlowness;
    if (load < lowest || view->mIsEjected) {
      best = view;
      lowest = load;
    }
  }
  const Duration expected = Scaled(mModel.PlainCall(), best->mSlowness);
  return Choice{ nullptr, *best->mState, {}, 0, mNow, mNow + expected };
}

void
DispatchPass::Claim(const Choice& aChoice, int aPieces)
{
  for (PrefillView& view : mPrefill) {
    if (*view.mState == aChoice.mPrefill) {
      view.mFreeAt += Scaled(aChoice.mWork, view.mSlowness);
      --view.mRequestsAllowed;
    }
  }
  for (DecodeView& view : mDecode) {
    if (*view.mState == aChoice.mServer) {
      ++view.mRunning;
      --view.mRequestsAllowed;
      view.mFreePieces -= aPieces;
      view.mCanProbe = false;
    }
  }
}

void
DispatchPass::KeepMemoryFor(const QueuedRequest& aRequest)
{
  if (mHasKept || aRequest.mPieces == 0) {
    return;
  }
  DecodeView* most = nullptr;
  for (DecodeView& view : mDecode) {
    const bool canFit = (*view.mState)->Server().mPieces >= aRequest.mPieces;
    if (view.mIsEjected || view.mRequestsAllowed <= 0 || !canFit ||
        IsExcluded(**view.mState, aRequest.mPlace)) {
      continue;
    }
    if (view.mFreePieces >= aRequest.mPieces) {
      return;
    }
    if (most == nullptr || view.mFreePieces > most->mFreePieces) {
      most = &view;
    }
  }
  if (most != nullptr) {
    most->mIsKept = true;
    mHasKept = true;
  }
}

CapacityForecast
DispatchPass::Capacity() const
{
  CapacityForecast capacity;
  std::optional<Instant> prefillFreeAt;
  for (const PrefillView& view : mPrefill) {
    ++capacity.mPrefillServers;
    prefillFreeAt =
      prefillFreeAt ? std::min(*prefillFreeAt, view.mFreeAt) : view.mFreeAt;
  }
  if (prefillFreeAt) {
    capacity.mUntilPrefill = *prefillFreeAt - mNow;
  }
  for (const DecodeView& view : mDecode) {
    const int limit = std::max(1, BatchLimit(view));
    capacity.mFreeSlots += std::max(0, limit - view.mRunning);
    capacity.mFreePieces += std::max(0, view.mFreePieces);
  }
  return capacity;
}

} // namespace heatherfork::detail
