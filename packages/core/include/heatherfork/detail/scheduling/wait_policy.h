#pragma once

#include <cstdint>

#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// Decisions on requests that wait for a place. Each function reads its
/// parameters alone; see docs/design/scheduling.md for the reasons.
namespace heatherfork::detail {

/// The time that a caller has, and the work that is left until its answer.
struct RemainingWork
{
  Instant mDeadline{};
  Duration mWork{};       ///< Predicted.
  Duration mLikelyWork{}; ///< Nearly always enough; at least mWork.

  auto operator<=>(const RemainingWork&) const = default;
};

/// What operators publish on the order of requests.
struct PublishedOrder
{
  int mRank = 0; ///< Lower values go first.
  WorkspaceName mWorkspace;
  double mWeight = 1;    ///< Of the workspace.
  bool mMayWait = false; ///< The answer isn't wanted soon.
  Instant mWantedAt{};   ///< When the latency target is reached.

  auto operator<=>(const PublishedOrder&) const = default;
};

/// Order within a rank and a workspace; lower values go first.
enum class Stage : std::uint8_t
{
  kUrgent,  ///< Must start next to be answered in time.
  kWanted,  ///< Can be answered by the time at which it is wanted.
  kPatient, ///< Can't, or may wait.
};

/// Latest start after which an answer is no longer likely in time.
inline Instant
LatestStart(const RemainingWork& aWork)
{
  return aWork.mDeadline - aWork.mLikelyWork;
}

/// Whether a request that starts after aWait can be answered in time. A request
/// waits only if its answer is likely; without a wait, a possible one is
/// enough.
inline bool
CanBeAnswered(const RemainingWork& aWork, Instant aNow, Duration aWait)
{
  return aWait > Duration{} ? aNow + aWait <= LatestStart(aWork)
                            : aNow + aWork.mWork <= aWork.mDeadline;
}

/// Stage of a request that isn't urgent and starts at aStart at the earliest.
inline Stage
StageOf(const RemainingWork& aWork,
        const PublishedOrder& aPublished,
        Instant aStart)
{
  return !aPublished.mMayWait && aStart + aWork.mWork <= aPublished.mWantedAt
           ? Stage::kWanted
           : Stage::kPatient;
}

} // namespace heatherfork::detail
