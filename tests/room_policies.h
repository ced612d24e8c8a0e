#pragma once

#include "room_loads.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// Policies that ours is compared with, and the scheduler in virtual time.
namespace heatherfork {

/// Orders by rank and aKey those requests that can still be in time.
template<class Key>
Result
RunInOrder(const Load& aLoad, const Key& aKey)
{
  using Slot = std::pair<Duration, double>;
  std::priority_queue<Slot, std::vector<Slot>, std::greater<>> slots;
  for (const double speed : SlotsOf(aLoad)) {
    slots.emplace(Duration{}, speed);
  }
  Result result;
  std::size_t next = 0;
  std::multimap<std::pair<bool, Duration>, const Arrival*> waiting;
  while (next < aLoad.mArrivals.size() || !waiting.empty()) {
    auto [now, speed] = slots.top();
    slots.pop();
    if (waiting.empty()) {
      now = std::max(now, aLoad.mArrivals[next].mAt);
    }
    while (next < aLoad.mArrivals.size() && aLoad.mArrivals[next].mAt <= now) {
      const Arrival* arrival = &aLoad.mArrivals[next++];
      waiting.emplace(std::pair{ arrival->mClass != "prompt", aKey(*arrival) },
                      arrival);
    }
    while (!waiting.empty()) {
      const Arrival& arrival = *waiting.begin()->second;
      waiting.erase(waiting.begin());
      if (now + Times(arrival.mWork, speed) <= arrival.mDeadline) {
        const Duration end = now + Times(arrival.mWork, speed);
        Count(result, arrival, now, end);
        now = end;
        break;
      }
      ++result.mRefused;
    }
    slots.emplace(now, speed);
  }
  return result;
}

/// Knows all that will come. Takes requests by rank and mean work while all
/// that are taken can be answered in time, in two ways: within their targets
/// first, or as many as possible first. The plan that answers more callers is
/// the measure, and of equal ones that with more answers within targets. It is
/// a heuristic: another plan may answer as many, with more in target.
class AllKnowing
{
public:
  explicit AllKnowing(const Load& aLoad)
    : mLoad(aLoad)
    , mDue(aLoad.mArrivals.size(), Duration{})
  {
  }

  static Result Best(const Load& aLoad)
  {
    const Result one = AllKnowing(aLoad).Run(true);
    const Result other = AllKnowing(aLoad).Run(false);
    const auto key = [](const Result& aResult) {
      return std::tuple{ aResult.mHighServed,
                         aResult.mServed,
                         aResult.mInTarget };
    };
    return key(one) < key(other) ? other : one;
  }

  Result Run(bool aTargetsFirst)
  {
    for (const char* name : { "prompt", "summary" }) {
      std::vector<std::size_t> order = ByWork(name);
      const auto wanted = [&](std::size_t aIndex) {
        return mLoad.mArrivals[aIndex].mWantedAt;
      };
      for (const std::size_t n : order) {
        TryDue(n, aTargetsFirst ? wanted(n) : mLoad.mArrivals[n].mDeadline);
      }
      for (const std::size_t n : order) {
        if (aTargetsFirst && mDue[n] == Duration{}) {
          TryDue(n, mLoad.mArrivals[n].mDeadline);
        } else if (!aTargetsFirst && mDue[n] > Duration{}) {
          TryDue(n, wanted(n));
        }
      }
    }
    Result result;
    IsFeasible(&result);
    result.mRefused = static_cast<int>(mDue.size()) - result.mServed;
    return result;
  }

private:
  std::vector<std::size_t> ByWork(const std::string& aClass) const
  {
    std::vector<std::size_t> order;
    for (std::size_t n = 0; n < mDue.size(); ++n) {
      if (mLoad.mArrivals[n].mClass == aClass) {
        order.push_back(n);
      }
    }
    std::stable_sort(
      order.begin(), order.end(), [&](std::size_t aOne, std::size_t aOther) {
        return mLoad.mArrivals[aOne].mTokens < mLoad.mArrivals[aOther].mTokens;
      });
    return order;
  }

  void TryDue(std::size_t aIndex, Duration aDue)
  {
    const Duration before = std::exchange(mDue[aIndex], aDue);
    if (!IsFeasible(nullptr)) {
      mDue[aIndex] = before;
    }
  }

  bool IsFeasible(Result* aResult) const
  {
    using Slot = std::pair<Duration, double>;
    std::priority_queue<Slot, std::vector<Slot>, std::greater<>> slots;
    for (const double speed : SlotsOf(mLoad)) {
      slots.emplace(Duration{}, speed);
    }
    std::set<std::pair<Duration, std::size_t>> ready;
    std::size_t next = 0;
    const auto skip = [&] {
      while (next < mDue.size() && mDue[next] == Duration{}) {
        ++next;
      }
      return next < mDue.size();
    };
    while (skip() || !ready.empty()) {
      auto [now, speed] = slots.top();
      slots.pop();
      if (ready.empty()) {
        now = std::max(now, mLoad.mArrivals[next].mAt);
      }
      while (skip() && mLoad.mArrivals[next].mAt <= now) {
        ready.emplace(mDue[next], next);
        ++next;
      }
      const auto [due, index] = *ready.begin();
      ready.erase(ready.begin());
      const Arrival& arrival = mLoad.mArrivals[index];
      const Duration end = now + Times(arrival.mWork, speed);
      if (end > due) {
        return false;
      }
      if (aResult != nullptr) {
        Count(*aResult, arrival, now, end);
      }
      slots.emplace(end, speed);
    }
    return true;
  }

  const Load& mLoad;
  std::vector<Duration> mDue; ///< Zero if it is not taken.
};

inline Configuration
ConfigurationFor(const Load& aLoad)
{
  const int servers = static_cast<int>(aLoad.mSpeeds.size());
  Configuration configuration =
    MakeConfiguration(aLoad.mIsEngine ? servers : 0, 0, 0);
  Pool& pool = configuration.mPools.front();
  if (aLoad.mIsEngine) {
    pool.mServers.push_back(MakeServer("d0", Role::kDecode, 1000, 100000));
    return configuration;
  }
  pool.mModel = {};
  pool.mService = ServiceName{ "desk" };
  for (int n = 0; n < servers; ++n) {
    pool.mServers.push_back(
      MakeServer("s" + std::to_string(n), Role::kPlain, kSlotsPerServer, 0));
  }
  return configuration;
}

/// Runs a load through the scheduler, in virtual time.
class Ours
{
public:
  explicit Ours(const Load& aLoad)
    : mLoad(aLoad)
    , mFixture(ConfigurationFor(aLoad))
  {
    mFixture.mSettings.mPolicy.mScheduling.mUseBatchLimit = false;
  }

  Result Run()
  {
    Learn();
    mStart = mFixture.mNow;
    Duration last{};
    for (const Arrival& arrival : mLoad.mArrivals) {
      last = std::max(last, arrival.mDeadline);
    }
    std::size_t next = 0;
    for (Duration now{}; now <= last + Milliseconds(5000); ++mTicks) {
      for (; next < mLoad.mArrivals.size() && mLoad.mArrivals[next].mAt <= now;
           ++next) {
        Send(next + 1, mLoad.mArrivals[next]);
      }
      Advance(Milliseconds(1));
      now += Milliseconds(1);
    }
    if (mResult.mRefused > 0) {
      mResult.mRefusedAfter /= mResult.mRefused;
    }
    return mResult;
  }

private:
  // Well below capacity, so that the times of work are learned.
  void Learn()
  {
    mIsLearning = true;
    for (std::uint64_t n = 0; n < 200 && !mLoad.mArrivals.empty(); ++n) {
      Arrival arrival = mLoad.mArrivals[n * 7 % mLoad.mArrivals.size()];
      arrival.mDeadline = Milliseconds(60000);
      mStart = mFixture.mNow;
      mSent[kLearned + n] = arrival;
      Place(kLearned + n, arrival);
      for (int step = 0; step < 100; ++step) {
        Advance(Milliseconds(1));
      }
    }
    while (!mEnds.empty()) {
      Advance(Milliseconds(1));
    }
    mIsLearning = false;
    mResult = {};
  }

  void Send(std::uint64_t aNumber, const Arrival& aArrival)
  {
    mSent[aNumber] = aArrival;
    Place(aNumber, aArrival);
  }

  void Place(std::uint64_t aNumber, const Arrival& aArrival)
  {
    PlaceRequest place = mFixture.MakeRequest(aNumber, aArrival.mTokens);
    if (!mLoad.mIsEngine) {
      place.mKind = RequestKind::kPlainCall;
      place.mModel = {};
      place.mService = ServiceName{ "desk" };
    }
    place.mClass = ClassName{ aArrival.mClass };
    place.mWorkspace = WorkspaceName{ aArrival.mWorkspace };
    place.mContentFingerprint = aNumber;
    place.mDeadline = mStart + aArrival.mDeadline;
    place.mTarget = aArrival.mWantedAt - aArrival.mAt;
    mFixture.Send(place);
    Collect();
  }

  void Advance(Duration aStep)
  {
    mFixture.mNow += aStep;
    while (!mEnds.empty() && mEnds.begin()->first <= mFixture.mNow) {
      const auto [number, took] = mEnds.begin()->second;
      mEnds.erase(mEnds.begin());
      const Arrival& arrival = mSent[number];
      if (!mIsLearning) {
        const Duration end = mFixture.mNow - mStart;
        Count(mResult, arrival, end - took, end);
      }
      const AttemptId attempt{ 7, number };
      if (mLoad.mIsEngine) {
        mFixture.Send(
          PlacementProgress{ attempt, PlacementStep::kPrefilled, took, 0 });
        mFixture.Send(PlacementProgress{
          attempt, PlacementStep::kFirstToken, Milliseconds(1), 0 });
      }
      mFixture.Send(
        PlacementEnded{ attempt, PlacementResult::kDone, {}, took, 0 });
      Collect();
    }
    if ((mFixture.mNow - kStart) % Milliseconds(20) == Duration{}) {
      mFixture.Tick(Duration{});
      Collect();
    }
  }

  void Collect()
  {
    for (const Effect& effect : mFixture.mEffects) {
      const auto* sent = std::get_if<SendToPeer>(&effect);
      if (sent == nullptr) {
        continue;
      }
      if (const auto* placed = std::get_if<Placed>(&sent->mMessage)) {
        OnPlaced(*placed);
      }
      if (const auto* no = std::get_if<PlacementRefused>(&sent->mMessage)) {
        ++mResult.mRefused;
        mResult.mRefusedAfter +=
          mFixture.mNow - mStart - mSent[no->mAttempt.mSequence].mAt;
      }
    }
    mFixture.mEffects.clear();
  }

  void OnPlaced(const Placed& aPlaced)
  {
    const std::uint64_t number = aPlaced.mAttempt.mSequence;
    const std::string& name =
      mLoad.mIsEngine ? aPlaced.mPrefill.mValue : aPlaced.mServer.mValue;
    const auto server = static_cast<std::size_t>(name.at(1) - '0');
    const Duration took = Times(mSent[number].mWork, mLoad.mSpeeds[server]);
    Instant start = mFixture.mNow;
    if (mLoad.mIsEngine) {
      start = std::max(start, mFreeAt[server]);
      mFreeAt[server] = start + took;
    }
    mEnds.emplace(start + took, std::pair{ number, took });
  }

  static constexpr std::uint64_t kLearned = 1000000;

  const Load& mLoad;
  SchedulerFixture mFixture;
  Instant mStart{};
  int mTicks = 0;
  bool mIsLearning = false;
  std::map<std::uint64_t, Arrival> mSent;
  std::multimap<Instant, std::pair<std::uint64_t, Duration>> mEnds;
  std::map<std::size_t, Instant> mFreeAt;
  Result mResult;
};

} // namespace heatherfork
