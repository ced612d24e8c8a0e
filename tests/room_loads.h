#pragma once

#include "scheduler_fixture.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

/// Loads with too little room, and what is counted of a run.
namespace heatherfork {

inline constexpr std::size_t kSlotsPerServer = 6;

inline constexpr unsigned kSeeds[] = { 11, 12, 13, 14, 15, 16 };

/// One request of a load; times since the start.
struct Arrival
{
  Duration mAt{};
  Duration mDeadline{};
  Duration mWantedAt{};
  Duration mWork{}; ///< At a server of normal speed.
  int mTokens = 0;
  std::string mClass = "prompt";
  std::string mWorkspace = "one";
};
using Arrivals = std::vector<Arrival>;

struct Load
{
  const char* mName;
  Arrivals mArrivals;
  std::vector<double> mSpeeds{ 1, 1 }; ///< Slowness of each server.
  bool mIsEngine = false;              ///< Prefill turns, by tokens.
};

struct Result
{
  int mServed = 0;
  int mInTarget = 0;
  int mRefused = 0;
  int mLongServed = 0;
  int mHighServed = 0;      ///< Of class "prompt", which has the higher rank.
  int mOtherServed = 0;     ///< Of workspaces other than the first.
  Duration mRefusedAfter{}; ///< Mean.
  Duration mWorkLost{};     ///< Done for answers that came too late.
  Duration mLongestWait{};  ///< Of an answered request with long work.
};

inline constexpr Duration kLongWork = Milliseconds(1000);

inline void
Count(Result& aResult, const Arrival& aArrival, Duration aStart, Duration aEnd)
{
  const bool isServed = aEnd <= aArrival.mDeadline;
  aResult.mServed += isServed;
  aResult.mInTarget += isServed && aEnd <= aArrival.mWantedAt;
  aResult.mHighServed += isServed && aArrival.mClass == "prompt";
  aResult.mOtherServed += isServed && aArrival.mWorkspace != "one";
  aResult.mWorkLost += isServed ? Duration{} : aEnd - aStart;
  if (isServed && aArrival.mWork >= kLongWork) {
    ++aResult.mLongServed;
    aResult.mLongestWait =
      std::max(aResult.mLongestWait, aStart - aArrival.mAt);
  }
}

inline std::vector<double>
SlotsOf(const Load& aLoad)
{
  std::vector<double> slots;
  for (const double speed : aLoad.mSpeeds) {
    slots.insert(slots.end(), aLoad.mIsEngine ? 1 : kSlotsPerServer, speed);
  }
  return slots;
}

inline Duration
Times(Duration aWork, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aWork.count()) * aFactor));
}

/// Requests at a rate, with times that vary by aNoise.
struct Part
{
  Duration mFrom{};
  Duration mUntil{};
  int mPerSecond = 0;
  Arrival mLike; ///< Times since its arrival.
  double mNoise = 0;
};

inline Arrivals
MakeArrivals(unsigned aSeed, const std::vector<Part>& aParts)
{
  std::mt19937 random(aSeed);
  Arrivals arrivals;
  for (const Part& part : aParts) {
    std::exponential_distribution<double> gap(part.mPerSecond / 1e6);
    std::uniform_real_distribution<double> noise(1 - part.mNoise,
                                                 1 + part.mNoise);
    Duration at = part.mFrom;
    while ((at += Times(Duration(1), gap(random))) < part.mUntil) {
      Arrival arrival = part.mLike;
      arrival.mAt = at;
      arrival.mDeadline += at;
      arrival.mWantedAt += at;
      arrival.mWork = Times(arrival.mWork, noise(random));
      arrivals.push_back(arrival);
    }
  }
  std::stable_sort(arrivals.begin(),
                   arrivals.end(),
                   [](const Arrival& aOne, const Arrival& aOther) {
                     return aOne.mAt < aOther.mAt;
                   });
  return arrivals;
}

inline Arrival
Like(int aDeadline, int aTarget, int aWork)
{
  return { {},
           Milliseconds(aDeadline),
           Milliseconds(aTarget),
           Milliseconds(aWork),
           aWork * 10 };
}

// 30 requests of 0.4 s can be served a second.
inline std::vector<Load>
MakeLoads(unsigned aSeed, int aTarget = 900)
{
  const auto second = [](int aSeconds) {
    return Milliseconds(aSeconds * 1000);
  };
  const Arrival like = Like(5000, aTarget, 400);
  const auto of = [&](const char* aClass, const char* aWorkspace) {
    Arrival arrival = like;
    arrival.mClass = aClass;
    arrival.mWorkspace = aWorkspace;
    return arrival;
  };
  const auto make = [&](const std::vector<Part>& aParts) {
    return MakeArrivals(aSeed, aParts);
  };
  return {
    { "steady", make({ { second(0), second(10), 24, like } }) },
    { "crest and trough",
      make({ { second(0), second(3), 60, like },
             { second(3), second(7), 10, like } }) },
    { "long crest",
      make({ { second(0), second(9), 60, Like(2500, aTarget, 400) } }) },
    { "two ranks",
      make({ { second(0), second(8), 20, of("prompt", "one") },
             { second(0), second(8), 30, of("summary", "one") } }) },
    { "one workspace",
      make({ { second(0), second(8), 80, of("prompt", "one") },
             { second(0), second(8), 12, of("prompt", "two") } }) },
    { "long and short",
      make({ { second(0), second(10), 12, Like(4000, aTarget, 100) },
             { second(0), second(10), 2, Like(9000, 3 * aTarget, 1000) } }),
      { 1, 1 },
      true },
    { "uneven servers",
      make({ { second(0), second(3), 75, like, 0.3 },
             { second(3), second(7), 15, like, 0.3 } }),
      { 0.55, 1.2, 1 } },
  };
}

inline void
Print(const char* aLoad, const char* aPolicy, const Result& aResult)
{
  std::printf("%-16s %-12s served %3d in target %3d refused %3d after %4lld ms"
              " lost %5lld ms long %2d longest %4lld ms\n",
              aLoad,
              aPolicy,
              aResult.mServed,
              aResult.mInTarget,
              aResult.mRefused,
              static_cast<long long>(ToMilliseconds(aResult.mRefusedAfter)),
              static_cast<long long>(ToMilliseconds(aResult.mWorkLost)),
              aResult.mLongServed,
              static_cast<long long>(ToMilliseconds(aResult.mLongestWait)));
}

inline void
Add(Result& aSum, const char* aLoad, const char* aPolicy, const Result& aOne)
{
  Print(aLoad, aPolicy, aOne);
  aSum.mServed += aOne.mServed;
  aSum.mInTarget += aOne.mInTarget;
  aSum.mHighServed += aOne.mHighServed;
}

} // namespace heatherfork
