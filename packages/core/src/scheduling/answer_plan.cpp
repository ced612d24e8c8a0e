#include "heatherfork/detail/scheduling/answer_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <tuple>

namespace heatherfork::detail {

namespace {

// Long work gets one part in twenty of the room.
constexpr int kRoomPerTurn = 19;

// An answer just after its target is still an answer, so a part of the margin
// that a deadline needs is enough.
constexpr int kTargetMargin = 4;

// Bounds the walks of one plan; what they miss, the next plan finds.
constexpr int kUrgentTries = 3;
constexpr std::size_t kUrgentFactor = 4;

using Order = std::vector<std::size_t>;
using CountByRank = std::map<int, int>;

/// The result of a walk through the requests in one order. All walks count the
/// same ranks, the highest first.
struct Walk
{
  std::vector<PlannedRequest> mRequests;
  CountByRank mKept;
  CountByRank mInTarget;
  int mGivenUp = 0;
};

class Planner
{
public:
  Planner(const PlanInputs& aInputs, std::vector<WaitingRequest> aRequests)
    : mInputs(aInputs)
    , mForecast(aInputs.mForecast)
    , mRequests(std::move(aRequests))
  {
    for (const WaitingRequest& request : mRequests) {
      mLines = std::max(mLines, request.mLine + 1);
      mRooms.push_back(mForecast.RoomOf(request.mDemand));
    }
  }

  AnswerPlan Make();

private:
  /// Requests that are put behind or given up for others, the next one first.
  struct Candidate
  {
    int mSize = 0;
    std::size_t mPosition = 0; ///< In the walk.
    std::size_t mIndex = 0;
    bool operator<(const Candidate& aOther) const
    {
      return std::tie(mSize, aOther.mPosition) <
             std::tie(aOther.mSize, mPosition);
    }
  };
  using Candidates = std::vector<std::priority_queue<Candidate>>;

  int SizeOf(std::size_t aIndex) const;
  bool CanMeetTarget(std::size_t aIndex, Duration aWait) const;
  Order Arrange(const std::vector<Stage>& aStages) const;
  void PutBehind(std::size_t aIndex,
                 std::vector<Stage>& aStages,
                 Demand& aAhead) const;
  std::vector<Stage> FindWanted() const;
  Walk Try(const std::vector<Stage>& aStages) const;
  bool HasRoomForTargets(const std::vector<Stage>& aWanted) const;
  std::vector<Stage> ByTime(std::vector<Stage> aStages, double aRoomLeft) const;
  void Improve(Walk& aBest, const std::vector<Stage>& aStages) const;
  void TryUrgent(Walk& aBest, const std::vector<Stage>& aWanted) const;
  void TryFewer(Walk& aBest, const std::vector<Stage>& aWanted) const;
  void GiveUp(std::size_t aIndex, Walk& aWalk, Demand& aAhead) const;
  Walk Follow(const Order& aOrder, const std::vector<Stage>& aStages) const;
  Walk Best() const;
  void FinishWaits(Walk& aWalk, const Demand& aAll) const;
  std::optional<std::size_t> FindTurn(const Walk& aWalk) const;

  const PlanInputs& mInputs;
  const CapacityForecast& mForecast;
  std::vector<WaitingRequest> mRequests;
  std::vector<Duration> mRooms;
  std::size_t mLines = 0;
};

// Rooms that differ by less than a quarter of an octave count as equal: the
// predictions aren't more exact.
int
Planner::SizeOf(std::size_t aIndex) const
{
  constexpr double kSizesPerOctave = 4;
  const auto room = static_cast<double>(mRooms[aIndex].count());
  return static_cast<int>(kSizesPerOctave * std::log2(room + 1));
}

bool
Planner::CanMeetTarget(std::size_t aIndex, Duration aWait) const
{
  const WaitingRequest& request = mRequests[aIndex];
  const RemainingWork& left = request.mRemaining;
  const Duration margin = aWait > Duration{}
                            ? (left.mLikelyWork - left.mWork) / kTargetMargin
                            : Duration{};
  return !request.mMayWait &&
         mInputs.mNow + aWait + left.mWork + margin <= request.mWantedAt;
}

// Each line keeps its places among the others, and fills them by stage.
Order
Planner::Arrange(const std::vector<Stage>& aStages) const
{
  std::vector<Order> lines(mLines);
  for (std::size_t n = 0; n < mRequests.size(); ++n) {
    lines[mRequests[n].mLine].push_back(n);
  }
  const auto goesFirst = [&](std::size_t aOne, std::size_t aOther) {
    if (aStages[aOne] != aStages[aOther]) {
      return aStages[aOne] < aStages[aOther];
    }
    const auto start = [this](std::size_t aIndex) {
      return mRequests[aIndex].mWantedAt - mRequests[aIndex].mRemaining.mWork;
    };
    return aStages[aOne] == Stage::kWanted && start(aOne) < start(aOther);
  };
  for (Order& line : lines) {
    std::stable_sort(line.begin(), line.end(), goesFirst);
  }
  std::vector<std::size_t> next(mLines, 0);
  Order order;
  order.reserve(mRequests.size());
  for (const WaitingRequest& request : mRequests) {
    order.push_back(lines[request.mLine][next[request.mLine]++]);
  }
  return order;
}

void
Planner::PutBehind(std::size_t aIndex,
                   std::vector<Stage>& aStages,
                   Demand& aAhead) const
{
  aStages[aIndex] = Stage::kPatient;
  aAhead -= mRequests[aIndex].mDemand;
}

std::vector<Stage>
Planner::FindWanted() const
{
  std::vector<Stage> stages(mRequests.size(), Stage::kPatient);
  for (std::size_t n = 0; n < mRequests.size(); ++n) {
    if (mRequests[n].mHasTurn) {
      stages[n] = Stage::kUrgent;
    } else if (CanMeetTarget(n, Duration{})) {
      stages[n] = Stage::kWanted;
    }
  }
  Demand ahead;
  Candidates candidates(mLines);
  std::size_t position = 0;
  for (const std::size_t index : Arrange(stages)) {
    const WaitingRequest& request = mRequests[index];
    if (stages[index] == Stage::kPatient) {
      continue;
    }
    const auto wait = [&] { return mForecast.WaitFor(ahead, request.mDemand); };
    auto& line = candidates[request.mLine];
    const bool isWanted = stages[index] == Stage::kWanted;
    const Duration first = wait();
    ahead += request.mDemand;
    if (!isWanted) {
      continue;
    }
    line.push({ SizeOf(index), position++, index });
    if (!CanMeetTarget(index, first)) {
      PutBehind(line.top().mIndex, stages, ahead);
      line.pop();
    }
  }
  return stages;
}

void
Planner::GiveUp(std::size_t aIndex, Walk& aWalk, Demand& aAhead) const
{
  aWalk.mRequests[aIndex].mIsGivenUp = true;
  --aWalk.mKept[mRequests[aIndex].mRank];
  aWalk.mInTarget[mRequests[aIndex].mRank] -=
    CanMeetTarget(aIndex, aWalk.mRequests[aIndex].mWait) ? 1 : 0;
  ++aWalk.mGivenUp;
  aAhead -= mRequests[aIndex].mDemand;
}

Walk
Planner::Follow(const Order& aOrder, const std::vector<Stage>& aStages) const
{
  Walk walk{ std::vector<PlannedRequest>(mRequests.size()), {}, {}, 0 };
  Demand ahead;
  Candidates candidates(mLines);
  std::size_t position = mRequests.size();
  for (const std::size_t index : aOrder) {
    const WaitingRequest& request = mRequests[index];
    const auto wait = [&] { return mForecast.WaitFor(ahead, request.mDemand); };
    const auto isInTime = [&](Duration aWait) {
      return CanBeAnswered(request.mRemaining, mInputs.mNow, aWait);
    };
    PlannedRequest& planned = walk.mRequests[index];
    planned.mStage = aStages[index];
    planned.mWait = wait();
    planned.mIsBoundByLimits =
      mForecast.IsBoundByLimits(ahead, request.mDemand);
    auto& line = candidates[request.mLine];
    bool canBeKept = isInTime(planned.mWait);
    if (!canBeKept && !line.empty() && line.top().mSize > SizeOf(index) &&
        isInTime(Duration{})) {
      Demand without = ahead;
      without -= mRequests[line.top().mIndex].mDemand;
      const Duration sooner = mForecast.WaitFor(without, request.mDemand);
      canBeKept = isInTime(sooner);
      if (canBeKept) {
        GiveUp(line.top().mIndex, walk, ahead);
        line.pop();
        planned.mWait = sooner;
      }
    }
    ++walk.mKept[request.mRank];
    walk.mInTarget[request.mRank] +=
      CanMeetTarget(index, planned.mWait) ? 1 : 0;
    ahead += request.mDemand;
    if (!canBeKept) {
      GiveUp(index, walk, ahead);
    } else if (!request.mHasTurn) {
      line.push({ SizeOf(index), --position, index });
    }
  }
  FinishWaits(walk, ahead);
  return walk;
}

// A request that is given up for its room may come back behind those kept.
void
Planner::FinishWaits(Walk& aWalk, const Demand& aAll) const
{
  if (aWalk.mGivenUp == 0) {
    return;
  }
  for (std::size_t n = 0; n < mRequests.size(); ++n) {
    PlannedRequest& planned = aWalk.mRequests[n];
    if (planned.mIsGivenUp) {
      planned.mWait =
        std::max(planned.mWait, mForecast.WaitFor(aAll, mRequests[n].mDemand));
    }
  }
}

Walk
Planner::Try(const std::vector<Stage>& aStages) const
{
  return Follow(Arrange(aStages), aStages);
}

void
Planner::Improve(Walk& aBest, const std::vector<Stage>& aStages) const
{
  Walk walk = Try(aStages);
  if (std::tie(aBest.mKept, aBest.mInTarget) <
      std::tie(walk.mKept, walk.mInTarget)) {
    aBest = std::move(walk);
  }
}

// Some of the others are due before all that are wanted have started.
void
Planner::TryUrgent(Walk& aBest, const std::vector<Stage>& aWanted) const
{
  std::vector<Stage> stages = aWanted;
  auto urgent = static_cast<std::size_t>(
    1 + mForecast.ReleasedWithin(mInputs.mInterval).mRequests);
  std::size_t next = 0;
  for (int n = 0; n < kUrgentTries; ++n, urgent *= kUrgentFactor) {
    for (std::size_t left = urgent; next < stages.size() && left > 0; ++next) {
      if (stages[next] == Stage::kPatient) {
        stages[next] = Stage::kUrgent;
        --left;
      }
    }
    Improve(aBest, stages);
  }
}

// There is too little room for some of those that wait: as many of the wanted
// ones go first as others must be given up anyway.
void
Planner::TryFewer(Walk& aBest, const std::vector<Stage>& aWanted) const
{
  std::vector<Stage> stages = aWanted;
  Order wanted;
  for (const std::size_t index : Arrange(aWanted)) {
    if (aWanted[index] == Stage::kWanted) {
      wanted.push_back(index);
    }
  }
  while (wanted.size() > 1) {
    for (std::size_t left = wanted.size() / 2; wanted.size() > left;) {
      stages[wanted.back()] = Stage::kPatient;
      wanted.pop_back();
    }
    Improve(aBest, stages);
  }
}

// Whether all that wait are answered, targets first, though higher ranks keep
// the part of the room that they hold now.
bool
Planner::HasRoomForTargets(const std::vector<Stage>& aWanted) const
{
  Demand ahead;
  for (const std::size_t index : Arrange(aWanted)) {
    const WaitingRequest& request = mRequests[index];
    const auto wait =
      static_cast<double>(mForecast.WaitFor(ahead, request.mDemand).count());
    const Duration later(static_cast<Duration::rep>(wait / request.mRoomLeft));
    if (!CanBeAnswered(request.mRemaining, mInputs.mNow, later)) {
      return false;
    }
    ahead += request.mDemand;
  }
  return true;
}

std::vector<Stage>
Planner::ByTime(std::vector<Stage> aStages, double aRoomLeft) const
{
  for (std::size_t n = 0; n < aStages.size(); ++n) {
    if (aStages[n] == Stage::kWanted && mRequests[n].mRoomLeft <= aRoomLeft) {
      aStages[n] = Stage::kPatient;
    }
  }
  return aStages;
}

// While higher ranks take room, it isn't known how much is left for a lower
// one: the order by latest start leaves it the most time.
Walk
Planner::Best() const
{
  const std::vector<Stage> wanted = FindWanted();
  if (!HasRoomForTargets(wanted)) {
    constexpr double kLessThanAll = 0.999;
    Walk careful = Try(ByTime(wanted, kLessThanAll));
    if (careful.mGivenUp == 0) {
      return careful;
    }
  }
  Walk all = Try(wanted);
  if (all.mGivenUp == 0) {
    return all;
  }
  Walk best = Try(ByTime(wanted, 1));
  if (all.mKept >= best.mKept) {
    return all;
  }
  TryUrgent(best, wanted);
  TryFewer(best, wanted);
  return best;
}

std::optional<std::size_t>
Planner::FindTurn(const Walk& aWalk) const
{
  std::optional<std::size_t> longest;
  Duration kept{};
  int count = 0;
  for (std::size_t n = 0; n < mRequests.size(); ++n) {
    if (mRequests[n].mHasTurn) {
      return std::nullopt;
    }
    if (!aWalk.mRequests[n].mIsGivenUp) {
      kept += mRooms[n];
      ++count;
    } else if (mInputs.mPassedRoom >= kRoomPerTurn * mRooms[n] &&
               CanBeAnswered(
                 mRequests[n].mRemaining, mInputs.mNow, Duration{}) &&
               (!longest || mRooms[n] > mRooms[*longest])) {
      longest = n;
    }
  }
  const bool isLong =
    longest && count > 0 && mRooms[*longest] * count > 2 * kept;
  return isLong ? longest : std::nullopt;
}

AnswerPlan
Planner::Make()
{
  Walk walk = Best();
  const std::optional<std::size_t> turn =
    walk.mGivenUp > 0 ? FindTurn(walk) : std::nullopt;
  if (turn) {
    mRequests[*turn].mHasTurn = true;
    walk = Best();
  }
  // Before the next plan these would be late.
  const Instant next = mInputs.mNow + 2 * mInputs.mInterval;
  for (std::size_t n = 0; n < mRequests.size(); ++n) {
    PlannedRequest& planned = walk.mRequests[n];
    if (!planned.mIsGivenUp && planned.mStage == Stage::kPatient &&
        LatestStart(mRequests[n].mRemaining) <= next) {
      planned.mStage = Stage::kUrgent;
    }
  }
  return { std::move(walk.mRequests), turn };
}

} // namespace

AnswerPlan
MakeAnswerPlan(const PlanInputs& aInputs, std::vector<WaitingRequest> aRequests)
{
  return Planner(aInputs, std::move(aRequests)).Make();
}

} // namespace heatherfork::detail
