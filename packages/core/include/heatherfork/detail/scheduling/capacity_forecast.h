#pragma once

#include <vector>

#include "heatherfork/time.h"

/// Prediction of when capacity is free for requests that wait.
namespace heatherfork::detail {

/// Capacity that requests ask for.
struct Demand
{
  int mRequests = 0;
  int mPieces = 0;
  Duration mPrefill{};

  Demand& operator+=(const Demand& aOther)
  {
    mRequests += aOther.mRequests;
    mPieces += aOther.mPieces;
    mPrefill += aOther.mPrefill;
    return *this;
  }

  Demand& operator-=(const Demand& aOther)
  {
    mRequests -= aOther.mRequests;
    mPieces -= aOther.mPieces;
    mPrefill -= aOther.mPrefill;
    return *this;
  }

  auto operator<=>(const Demand&) const = default;
};

/// When a server that names a limit takes requests.
struct LimitedServer
{
  Duration mUntilNext{};
  Duration mInterval{};
};

/// The servers of one role, which all have limits.
struct LimitedServers
{
  std::vector<LimitedServer> mServers;

  /// Until one of them takes a request after aAhead others.
  Duration WaitFor(int aAhead) const;
};

/// The predicted end of a placement.
struct Release
{
  Duration mIn{};
  int mPieces = 0; ///< Of all placements that end so far.

  auto operator<=>(const Release&) const = default;
};

/// Capacity of the servers that take work.
struct CapacityForecast
{
  int mFreeSlots = 0;
  int mFreePieces = 0;
  int mPrefillServers = 0;
  Duration mUntilPrefill{};       ///< Until the first prefill server is free.
  std::vector<Release> mReleases; ///< Of all placements, in order.
  Duration mHoldTime{};           ///< Mean time that a placement holds.
  std::vector<LimitedServers> mLimits; ///< Of each role that is limited.

  /// Predicted time until a request gets a place after those ahead of it; zero
  /// if nothing is known that makes it wait.
  Duration WaitFor(const Demand& aAhead, const Demand& aOwn) const;

  /// The time for which aDemand takes all capacity of the kind that it needs
  /// most of.
  Duration RoomOf(const Demand& aDemand) const;

  /// Capacity that others may take within aInterval, beside one request more.
  Demand ReleasedWithin(Duration aInterval) const;

  /// Whether limits that servers name make up the longest part of the wait.
  bool IsBoundByLimits(const Demand& aAhead, const Demand& aOwn) const;

private:
  Duration UntilSlotsAreFree(int aSlots) const;
  Duration UntilPiecesAreFree(int aPieces) const;
  Duration WaitForLimits(const Demand& aAhead) const;
  Duration WaitForServers(const Demand& aAhead, const Demand& aOwn) const;
};

} // namespace heatherfork::detail
