#include "heatherfork/detail/scheduling/capacity_forecast.h"

#include <algorithm>

namespace heatherfork::detail {

Duration
LimitedServers::WaitFor(int aAhead) const
{
  const auto takenUntil = [this](Duration aTime) {
    std::int64_t taken = 0;
    for (const LimitedServer& server : mServers) {
      taken += aTime < server.mUntilNext
                 ? 0
                 : 1 + (aTime - server.mUntilNext) / server.mInterval;
    }
    return taken;
  };
  Duration latest = Duration::max();
  for (const LimitedServer& server : mServers) {
    latest = std::min(latest, server.mUntilNext + aAhead * server.mInterval);
  }
  Duration earliest{};
  while (earliest < latest) {
    const Duration middle = earliest + (latest - earliest) / 2;
    if (takenUntil(middle) > aAhead) {
      latest = middle;
    } else {
      earliest = middle + Duration(1);
    }
  }
  return latest;
}

Duration
CapacityForecast::WaitFor(const Demand& aAhead, const Demand& aOwn) const
{
  return std::max(WaitForLimits(aAhead), WaitForServers(aAhead, aOwn));
}

bool
CapacityForecast::IsBoundByLimits(const Demand& aAhead,
                                  const Demand& aOwn) const
{
  return WaitForLimits(aAhead) > WaitForServers(aAhead, aOwn);
}

Duration
CapacityForecast::RoomOf(const Demand& aDemand) const
{
  const auto part = [this](int aNeeded, int aFree, int aHeld) {
    return mHoldTime * aNeeded / std::max(1, aFree + aHeld);
  };
  const int heldPieces = mReleases.empty() ? 0 : mReleases.back().mPieces;
  return std::max(
    { aDemand.mPrefill / std::max(1, mPrefillServers),
      part(aDemand.mRequests, mFreeSlots, static_cast<int>(mReleases.size())),
      part(aDemand.mPieces, mFreePieces, heldPieces) });
}

Demand
CapacityForecast::ReleasedWithin(Duration aInterval) const
{
  const auto end = std::partition_point(
    mReleases.begin(), mReleases.end(), [aInterval](const Release& aRelease) {
      return aRelease.mIn <= aInterval;
    });
  return Demand{ static_cast<int>(end - mReleases.begin()),
                 end == mReleases.begin() ? 0 : std::prev(end)->mPieces,
                 {} };
}

Duration
CapacityForecast::WaitForLimits(const Demand& aAhead) const
{
  Duration wait{};
  for (const LimitedServers& role : mLimits) {
    wait = std::max(wait, role.WaitFor(aAhead.mRequests));
  }
  return wait;
}

Duration
CapacityForecast::WaitForServers(const Demand& aAhead, const Demand& aOwn) const
{
  Duration wait{};
  if (mPrefillServers > 0 && aOwn.mPrefill > Duration{}) {
    wait = mUntilPrefill + aAhead.mPrefill / mPrefillServers;
  }
  return std::max({ wait,
                    UntilSlotsAreFree(aAhead.mRequests + aOwn.mRequests),
                    UntilPiecesAreFree(aAhead.mPieces + aOwn.mPieces) });
}

// Capacity is free now or when its placement ends, and is held again each time
// for the hold time.
Duration
CapacityForecast::UntilSlotsAreFree(int aSlots) const
{
  if (aSlots <= mFreeSlots || mReleases.empty()) {
    return Duration{};
  }
  const int all = mFreeSlots + static_cast<int>(mReleases.size());
  const int rounds = (aSlots - 1) / all;
  const int last = (aSlots - 1) % all - mFreeSlots;
  const Duration in =
    last < 0 ? Duration{} : mReleases[static_cast<std::size_t>(last)].mIn;
  return rounds * mHoldTime + in;
}

Duration
CapacityForecast::UntilPiecesAreFree(int aPieces) const
{
  const int held = mReleases.empty() ? 0 : mReleases.back().mPieces;
  if (aPieces <= mFreePieces || held == 0) {
    return Duration{};
  }
  const int all = mFreePieces + held;
  const int rounds = (aPieces - 1) / all;
  const int last = aPieces - rounds * all - mFreePieces;
  const auto release = std::partition_point(
    mReleases.begin(), mReleases.end(), [last](const Release& aRelease) {
      return aRelease.mPieces < last;
    });
  return rounds * mHoldTime + (last <= 0 ? Duration{} : release->mIn);
}

} // namespace heatherfork::detail
