#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "heatherfork/detail/scheduling/capacity_forecast.h"
#include "heatherfork/detail/scheduling/wait_policy.h"

/// Decides which waiting requests go first and which are given up when not all
/// can be answered in time; see docs/design/too-little-room.md.
namespace heatherfork::detail {

/// A request that waits for a place.
struct WaitingRequest
{
  int mRank = 0;
  std::size_t mLine = 0; ///< Number of its rank and workspace.
  RemainingWork mRemaining;
  Instant mWantedAt{};
  bool mMayWait = false;
  Demand mDemand;
  bool mHasTurn = false; ///< Of long work.
  double mRoomLeft = 1;  ///< Part that higher ranks don't hold.
};

/// What the plan says about a request.
struct PlannedRequest
{
  bool mIsGivenUp = false;
  bool mIsBoundByLimits = false;
  Stage mStage = Stage::kPatient;
  Duration mWait{}; ///< Predicted; after all others if it is given up.

  auto operator<=>(const PlannedRequest&) const = default;
};

/// What a plan is made from.
struct PlanInputs
{
  const CapacityForecast& mForecast;
  Instant mNow{};
  Duration mInterval{};   ///< Until the next plan.
  Duration mPassedRoom{}; ///< Given to others since the last turn.
};

/// A plan for all requests that wait.
struct AnswerPlan
{
  std::vector<PlannedRequest> mRequests; ///< As in the parameter.
  std::optional<std::size_t> mNewTurn;   ///< The request that gets the turn.
};

/// aRequests are in the order of latest starts within ranks and shares.
AnswerPlan
MakeAnswerPlan(const PlanInputs& aInputs,
               std::vector<WaitingRequest> aRequests);

} // namespace heatherfork::detail
