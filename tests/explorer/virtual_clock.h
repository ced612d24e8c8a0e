#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "heatherfork/time.h"

/// Virtual time, which advances only from one scheduled step to the next.
namespace heatherfork::explorer {

class VirtualClock
{
public:
  explicit VirtualClock(Instant aStart)
    : mNow(aStart)
  {
  }

  Instant Now() const { return mNow; }

  /// Schedules a step. Steps with equal times run in the order of scheduling.
  void After(Duration aDelay, std::function<void()> aStep)
  {
    mSteps.emplace(std::pair{ mNow + aDelay, ++mStepCount }, std::move(aStep));
  }

  /// Runs all steps that are due by the given time, then advances to it.
  void RunUntil(Instant aEnd)
  {
    while (!mSteps.empty() && mSteps.begin()->first.first <= aEnd) {
      const auto node = mSteps.extract(mSteps.begin());
      mNow = node.key().first;
      node.mapped()();
    }
    mNow = aEnd;
  }

private:
  Instant mNow;
  std::uint64_t mStepCount = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> mSteps;
};

} // namespace heatherfork::explorer
