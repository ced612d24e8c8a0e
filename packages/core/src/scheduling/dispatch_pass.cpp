#include "heatherfork/detail/scheduling/dispatch_pass.h"

#include <algorithm>
#include <limits>

namespace heatherfork::detail {

namespace {

// Load pattern: plain calls whose own times differ by a multiple, on replicas
// with noisy neighbours. One long call says little of its server; to take the
// server out for it costs the others its places.
constexpr double kSpreadOfPlainCalls = 2.5;

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
                           Instant aNow)
  : mModel(aModel)
  , mHints(aHints)
  , mSettings(aSettings)
  , mNow(aNow)
{
  for (const ServerStatePtr& server : aServers) {
    View(server);
  }
  ViewLinks();
  Eject();
}

void
DispatchPass::View(const ServerStatePtr& aServer)
{
  const BackendServer& server = aServer->Server();
  if (server.mLeaving || aServer->mIsolated || aServer->IsBlocked(mNow)) {
    return;
  }
  const std::size_t zone = ZoneIndex(server.mZone);
  const double remembered = aServer->SlownessRemembered(mNow, mSettings);
  if (server.mRole == Role::kPrefill) {
    mPrefill.push_back({ &aServer,
                         aServer->FreeAt(mNow, mSettings),
                         aServer->SlownessNow(mNow, mSettings),
                         remembered,
                         zone });
    return;
  }
  mDecode.push_back({ &aServer,
                      aServer->Running(mNow, mSettings),
                      aServer->FreePieces(mNow, mSettings),
                      remembered,
                      false,
                      aServer->MayProbe(mNow, mSettings),
                      zone });
}

// The slowest servers get probes only, but never so many that the load on the
// rest would make them slow in turn.
void
DispatchPass::Eject()
{
  std::vector<DecodeView*> slow;
  for (DecodeView& view : mDecode) {
    const bool isPlain = (*view.mState)->Server().mRole == Role::kPlain;
    const double from =
      isPlain ? mSettings.mSlowFrom * kSpreadOfPlainCalls : mSettings.mSlowFrom;
    if (view.mSlowness > from) {
      slow.push_back(&view);
    }
  }
  std::stable_sort(
    slow.begin(), slow.end(), [](const auto* aOne, const auto* aTwo) {
      return aOne->mSlowness > aTwo->mSlowness;
    });
  const std::size_t most =
    mDecode.size() * static_cast<std::size_t>(mSettings.mMaxEjectedPercent) /
    100;
  slow.resize(std::min(slow.size(), most));
  for (DecodeView* view : slow) {
    view->mEjected = true;
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
DispatchPass::ViewLinks()
{
  for (const ZoneName& from : mZones) {
    for (const ZoneName& to : mZones) {
      mLinks.push_back(mModel.LinkSlowness(mNow, mSettings, from, to));
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
DispatchPass::HasRoom(const DecodeView& aView, Lane aLane, int aPieces) const
{
  if (aView.mFreePieces < aPieces) {
    return false;
  }
  if (aView.mEjected) {
    return aView.mMayProbe;
  }
  int limit = BatchLimit(aView);
  if (aLane != Lane::kInTime && mSettings.mUseHeadroom) {
    limit -= std::max(1, limit * mSettings.mHeadroomPercent / 100);
  }
  return aView.mRunning < std::max(1, limit);
}

Choice
DispatchPass::Find(const Waiting& aWaiting, Lane aLane, int aPieces) const
{
  const PlaceRequest& place = aWaiting.mPlace;
  std::vector<const DecodeView*> room;
  for (const DecodeView& view : mDecode) {
    if (HasRoom(view, aLane, aPieces) && !IsExcluded(**view.mState, place)) {
      room.push_back(&view);
    }
  }
  if (room.empty()) {
    return Choice{};
  }
  if (place.mKind == RequestKind::kPlainCall) {
    return FindPlain(room);
  }
  std::vector<CachedPrefix> cached;
  if (mSettings.mUsePrefixHints && !place.mPrefixes.empty()) {
    cached = mHints.Find(mNow,
                         mSettings.mPrefixHintLifetime,
                         place.mPrefixes,
                         place.mPromptTokens);
  }
  Pair best;
  bool bestInTime = false;
  for (const PrefillView& prefill : mPrefill) {
    if (IsExcluded(**prefill.mState, place)) {
      continue;
    }
    const Pair pair = Best(
      prefill, room, place.mPromptTokens, CachedAt(cached, **prefill.mState));
    const bool inTime = IsInTime(pair, aWaiting);
    const bool isBetter =
      inTime != bestInTime ? inTime : pair.mFirstTokenAt < best.mFirstTokenAt;
    if (best.mPrefill == nullptr || isBetter) {
      best = pair;
      bestInTime = inTime;
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

DispatchPass::Pair
DispatchPass::Best(const PrefillView& aPrefill,
                   const std::vector<const DecodeView*>& aRoom,
                   int aPromptTokens,
                   int aCachedTokens) const
{
  const int uncached = std::max(1, aPromptTokens - aCachedTokens);
  const Duration work = mModel.Prefill(uncached);
  const Instant prefilled = aPrefill.mFreeAt + Scaled(work, aPrefill.mSlowness);
  const Duration transfer = mModel.Transfer(aPromptTokens);
  const DecodeView* best = nullptr;
  Duration least{};
  for (const DecodeView* view : aRoom) {
    const double link = mLinks[aPrefill.mZone * mZones.size() + view->mZone];
    const Duration step = mModel.FirstStep(view->mRunning + 1);
    const Duration rest =
      Scaled(transfer, link) + Scaled(step, view->mSlowness);
    // A probe is worth its cost: without it a server never comes back.
    const bool isProbe = view->mEjected;
    if (best == nullptr || isProbe || (rest < least && !best->mEjected)) {
      best = view;
      least = rest;
    }
  }
  return Pair{ &aPrefill, best, work, aCachedTokens, prefilled + least };
}

// A server that was slow when last seen gets only prompts that it would
// finish in time even if it still is: these are its probes.
bool
DispatchPass::IsInTime(const Pair& aPair, const Waiting& aWaiting) const
{
  const PrefillView& prefill = *aPair.mPrefill;
  const double more = std::max(0.0, prefill.mRemembered - prefill.mSlowness);
  return aPair.mFirstTokenAt + Scaled(aPair.mWork, more) <= aWaiting.mTargetAt;
}

Choice
DispatchPass::FindPlain(const std::vector<const DecodeView*>& aRoom) const
{
  const DecodeView* best = aRoom.front(); // There is room somewhere.
  double least = std::numeric_limits<double>::max();
  for (const DecodeView* view : aRoom) {
    const int slots = std::max(1, (*view->mState)->Server().mSlots);
    const double load = (view->mRunning + 1.0) / slots * view->mSlowness;
    if (load < least || view->mEjected) {
      best = view;
      least = load;
    }
  }
  const Duration took = Scaled(mModel.PlainCall(), best->mSlowness);
  return Choice{ nullptr, *best->mState, {}, 0, mNow, mNow + took };
}

void
DispatchPass::Claim(const Choice& aChoice, int aPieces)
{
  for (PrefillView& view : mPrefill) {
    if (*view.mState == aChoice.mPrefill) {
      view.mFreeAt += Scaled(aChoice.mWork, view.mSlowness);
    }
  }
  for (DecodeView& view : mDecode) {
    if (*view.mState == aChoice.mServer) {
      ++view.mRunning;
      view.mFreePieces -= aPieces;
      view.mMayProbe = false;
    }
  }
}

} // namespace heatherfork::detail
