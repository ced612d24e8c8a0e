#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "heatherfork/time.h"

/// Discrete-event simulation.
namespace heatherfork::bench {

/// Runs actions by time; actions of equal time run in the order in which they
/// were added.
class EventQueue
{
public:
  using Action = std::function<void()>;

  Instant Now() const { return mNow; }
  void At(Instant aAt, Action aAction);
  void After(Duration aDelay, Action aAction);

  /// Runs all actions up to and including aEnd.
  void RunUntil(Instant aEnd);

private:
  struct Item
  {
    Instant mAt{};
    std::uint64_t mNumber = 0;
    Action mAction;
  };
  struct IsLater
  {
    bool operator()(const Item& aOne, const Item& aTwo) const
    {
      return aOne.mAt != aTwo.mAt ? aOne.mAt > aTwo.mAt
                                  : aOne.mNumber > aTwo.mNumber;
    }
  };

  Instant mNow{};
  std::uint64_t mNumber = 0;
  std::priority_queue<Item, std::vector<Item>, IsLater> mItems;
};

} // namespace heatherfork::bench
