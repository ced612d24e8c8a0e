#include "heatherfork/detail/scheduling/shard_scheduler.h"

#include <algorithm>

namespace heatherfork::detail {

DispatchPass
ShardScheduler::MakePass(Context& aContext)
{
  return DispatchPass(mServers,
                      mModel,
                      mHints,
                      SettingsOf(aContext),
                      LimitShare(aContext),
                      aContext.mNow);
}

// Considers only the first requests of the queue, so that the cost per event
// does not grow with the queue length.
void
ShardScheduler::Dispatch(Context& aContext)
{
  if (mQueue.Size() == 0) {
    return;
  }
  DispatchIsolated(aContext);
  const auto lookahead =
    static_cast<std::size_t>(SettingsOf(aContext).mLookahead);
  // Suspects that wait for each other must not keep out the requests behind
  // them.
  const auto isEligible = [&](const QueuedRequest& aRequest) {
    return !aRequest.mPlace.mIsolate &&
           !mSuspectRuns.MustWait(aRequest.mPlace, aContext.mNow);
  };
  bool hasMoved = true;
  // A request that can't be answered when it is wanted lets others go first and
  // is considered once more.
  for (int round = 0; round < 2 && hasMoved; ++round) {
    hasMoved = false;
    DispatchPass pass = MakePass(aContext);
    for (const AttemptId& attempt : mQueue.First(lookahead, isEligible)) {
      // A placement earlier in this round may be of equal content.
      if (!isEligible(mQueue.At(attempt))) {
        continue;
      }
      hasMoved =
        TryDispatch(aContext, pass, attempt) == DispatchResult::kMoved ||
        hasMoved;
    }
  }
}

ShardScheduler::DispatchResult
ShardScheduler::TryDispatch(Context& aContext,
                            DispatchPass& aPass,
                            const AttemptId& aAttempt)
{
  const SchedulingSettings& settings = SettingsOf(aContext);
  const QueuedRequest& request = mQueue.At(aAttempt);
  const Choice choice = aPass.Find(request);
  const bool hasCapacity = choice.mServer != nullptr;
  if (request.mStage == Stage::kWanted) {
    const Instant startAt = hasCapacity
                              ? choice.mFirstTokenAt - request.mRemaining.mWork
                              : aContext.mNow;
    const Stage stage =
      StageOf(request.mRemaining, request.mPublished, startAt);
    if (stage != Stage::kWanted) {
      mQueue.SetStage(aAttempt, stage);
      return DispatchResult::kMoved;
    }
  }
  if (!hasCapacity) {
    if (request.mStage == Stage::kUrgent) {
      aPass.KeepMemoryFor(request);
    }
    return DispatchResult::kStaysQueued;
  }
  aPass.Claim(choice, request.mPieces);
  if (settings.mUseLateBinding &&
      choice.mStartAt > aContext.mNow + settings.mPrefillLead) {
    return DispatchResult::kStaysQueued;
  }
  Commit(aContext, aAttempt, choice);
  return DispatchResult::kPlaced;
}

Demand
ShardScheduler::DemandOf(const QueuedRequest& aRequest) const
{
  const PlaceRequest& place = aRequest.mPlace;
  return Demand{ 1,
                 aRequest.mPieces,
                 place.mKind == RequestKind::kPlainCall
                   ? Duration{}
                   : mModel.Prefill(place.mPromptTokens) };
}

// A placement that has exceeded the mean lasts for the deviation more on
// average. Which of several ends first is not known, so their ends are spread.
std::vector<Release>
ShardScheduler::Releases(Instant aNow) const
{
  const auto left = [&](const Placement& aPlacement) {
    return aPlacement.HeldAt() + mHoldTime.Mean() - aNow;
  };
  const auto overdue = std::count_if(
    mPlacements.begin(), mPlacements.end(), [&](const auto& aItem) {
      return left(aItem.second) < Duration{};
    });
  std::vector<Release> releases;
  releases.reserve(mPlacements.size());
  std::int64_t spread = 0;
  for (const auto& [attempt, placement] : mPlacements) {
    Duration in = left(placement);
    if (in < Duration{}) {
      in = 2 * mHoldTime.Deviation() * ++spread / (overdue + 1);
    }
    releases.push_back({ in, placement.Pieces() });
  }
  std::sort(releases.begin(), releases.end());
  for (std::size_t n = 1; n < releases.size(); ++n) {
    releases[n].mPieces += releases[n - 1].mPieces;
  }
  return releases;
}

CapacityForecast
ShardScheduler::Forecast(Context& aContext, const DispatchPass& aPass)
{
  CapacityForecast forecast = aPass.Capacity();
  if (mHoldTime.HasSamples()) {
    forecast.mHoldTime = mHoldTime.Mean();
    forecast.mReleases = Releases(aContext.mNow);
  }
  forecast.mLimits = LimitedRoles(aContext);
  return forecast;
}

// A suspect waits for another one and for no capacity.
std::vector<AttemptId>
ShardScheduler::Waiting(Context& aContext)
{
  const Instant now = aContext.mNow;
  std::vector<AttemptId> waiting;
  for (const AttemptId& attempt : mQueue.ByTime()) {
    const QueuedRequest& request = mQueue.At(attempt);
    if (!mSuspectRuns.MustWait(request.mPlace, now)) {
      waiting.push_back(attempt);
    } else if (!CanBeAnswered(request.mRemaining, now, Duration{})) {
      RefuseHopeless(aContext, attempt, PlannedRequest{});
    } else {
      mOldestArrival = std::min(mOldestArrival, request.mArrivedAt);
    }
  }
  return waiting;
}

std::map<int, double>
ShardScheduler::RoomLeftByRank() const
{
  std::map<int, double> held;
  for (const auto& [attempt, placement] : mPlacements) {
    const auto it = mPriorities.find(placement.Request().mClass);
    ++held[it == mPriorities.end() ? 0 : -it->second];
  }
  double left = 1;
  for (auto& [rank, count] : held) {
    left -= count / (static_cast<double>(mPlacements.size()) + 1);
    count = left;
  }
  return held;
}

std::vector<WaitingRequest>
ShardScheduler::Describe(const std::vector<AttemptId>& aAttempts) const
{
  std::map<std::pair<int, WorkspaceName>, std::size_t> lines;
  const std::map<int, double> rooms = RoomLeftByRank();
  const auto roomLeft = [&](int aRank) {
    const auto it = rooms.lower_bound(aRank);
    return it == rooms.begin() ? 1.0 : std::prev(it)->second;
  };
  std::vector<WaitingRequest> described;
  described.reserve(aAttempts.size());
  for (const AttemptId& attempt : aAttempts) {
    const QueuedRequest& request = mQueue.At(attempt);
    const PublishedOrder& published = request.mPublished;
    const auto line =
      lines.try_emplace({ published.mRank, published.mWorkspace }, lines.size())
        .first;
    described.push_back({ published.mRank,
                          line->second,
                          request.mRemaining,
                          published.mWantedAt,
                          published.mMayWait,
                          DemandOf(request),
                          mTurn == attempt,
                          roomLeft(published.mRank) });
  }
  return described;
}

void
ShardScheduler::Review(Context& aContext)
{
  mReviewedWait = Duration{};
  mOldestArrival = aContext.mNow;
  if (mQueue.Size() == 0) {
    return;
  }
  if (mTurn && !mQueue.Contains(*mTurn)) {
    mTurn.reset();
  }
  mForecast = Forecast(aContext, MakePass(aContext));
  const std::vector<AttemptId> waiting = Waiting(aContext);
  const PlanInputs inputs{ mForecast,
                           aContext.mNow,
                           aContext.mSettings.mPolicy.mTimerInterval,
                           mPassedRoom };
  Apply(aContext, waiting, MakeAnswerPlan(inputs, Describe(waiting)));
}

void
ShardScheduler::Apply(Context& aContext,
                      const std::vector<AttemptId>& aAttempts,
                      const AnswerPlan& aPlan)
{
  if (aPlan.mNewTurn) {
    mTurn = aAttempts[*aPlan.mNewTurn];
  }
  for (std::size_t n = 0; n < aAttempts.size(); ++n) {
    const PlannedRequest& planned = aPlan.mRequests[n];
    if (planned.mIsGivenUp) {
      RefuseHopeless(aContext, aAttempts[n], planned);
      continue;
    }
    const QueuedRequest& request = mQueue.At(aAttempts[n]);
    mOldestArrival = std::min(mOldestArrival, request.mArrivedAt);
    mReviewedWait = std::max(mReviewedWait, planned.mWait);
    mQueue.SetStage(aAttempts[n], planned.mStage);
  }
}

void
ShardScheduler::RefuseHopeless(Context& aContext,
                               const AttemptId& aAttempt,
                               const PlannedRequest& aPlanned)
{
  const QueuedRequest& request = mQueue.At(aAttempt);
  const auto left = [&](Instant aUntil) {
    return std::to_string(ToMilliseconds(aUntil - aContext.mNow)) + " ms";
  };
  const std::string inputs =
    "; rank " + std::to_string(request.mPublished.mRank) + ", time left " +
    left(request.mRemaining.mDeadline) + ", until the target " +
    left(request.mPublished.mWantedAt) + ", work " +
    std::to_string(ToMilliseconds(request.mRemaining.mWork)) + " ms";
  const std::string wait = std::to_string(ToMilliseconds(aPlanned.mWait));
  const NodeId from = request.mFrom;
  RemoveQueued(aAttempt);
  aContext.Send(
    from,
    PlacementRefused{
      aAttempt,
      aPlanned.mIsBoundByLimits
        ? Error{ ErrorCode::kServerLimit,
                 "expected a place before the deadline, the limits that the "
                 "servers name allow one in " +
                   wait + " ms" + inputs }
        : Error{ ErrorCode::kDeadlineTooShort,
                 "expected a place before the deadline, the predicted wait "
                 "is " +
                   wait + " ms" + inputs },
      mId,
      aPlanned.mWait });
}

double
ShardScheduler::LimitShare(const Context& aContext)
{
  const bool isCurrent =
    aContext.mMembersNumber != 0 && mShareMembers == aContext.mMembersNumber;
  if (!mHasLimits || isCurrent) {
    return mLimitShare;
  }
  mShareMembers = aContext.mMembersNumber;
  const NodeId scheduler =
    SchedulerOf(Shard{ mId, mKey, nullptr, {} }, aContext.mMembers);
  const auto alive = std::count_if(
    aContext.mMembers.begin(), aContext.mMembers.end(), [](const Member& aOne) {
      return aOne.mStatus == MemberStatus::kAlive;
    });
  const bool isOwn =
    scheduler.mIncarnation == 0 || scheduler == aContext.mSettings.mSelf;
  mLimitShare = isOwn || alive == 0 ? 1 : 1 / static_cast<double>(alive);
  return mLimitShare;
}

// A request needs servers of each role, so one that is limited is enough.
std::vector<LimitedServers>
ShardScheduler::LimitedRoles(const Context& aContext)
{
  std::vector<LimitedServers> limited;
  if (!mHasLimits) {
    return limited;
  }
  for (const Role role : { Role::kPlain, Role::kPrefill, Role::kDecode }) {
    LimitedServers servers = LimitedServersOf(aContext, role);
    if (!servers.mServers.empty()) {
      limited.push_back(std::move(servers));
    }
  }
  return limited;
}

LimitedServers
ShardScheduler::LimitedServersOf(const Context& aContext, Role aRole)
{
  const double share = LimitShare(aContext);
  LimitedServers limited;
  for (const ServerStatePtr& state : mServers) {
    const BackendServer& server = state->Server();
    if (server.mRole != aRole || server.mLeaving ||
        state->IsBlocked(aContext.mNow)) {
      continue;
    }
    const std::optional<double> rate =
      state->Limiter().RateAt(aContext.mNow, share);
    if (!rate) {
      return {};
    }
    const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / *rate));
    limited.mServers.push_back({ state->Limiter().NextIn(aContext.mNow, share),
                                 std::max(Duration(1), interval) });
  }
  return limited;
}

void
ShardScheduler::DispatchIsolated(Context& aContext)
{
  const AttemptId* first = mQueue.FirstIsolated();
  if (first == nullptr) {
    return;
  }
  const AttemptId attempt = *first;
  const PlaceRequest& place = mQueue.At(attempt).mPlace;
  if (!mIsolation.Begin(mServers, place) || !mIsolation.IsReady(attempt)) {
    return;
  }
  Choice choice;
  choice.mPrefill = mIsolation.Prefill();
  choice.mServer = mIsolation.Server();
  choice.mWork = mModel.Prefill(place.mPromptTokens);
  Commit(aContext, attempt, choice);
}

void
ShardScheduler::Commit(Context& aContext,
                       const AttemptId& aAttempt,
                       const Choice& aChoice)
{
  QueuedRequest request = mQueue.Take(aAttempt);
  if (mTurn == aAttempt) {
    mTurn.reset();
    mPassedRoom = Duration{};
  } else {
    mPassedRoom += mForecast.RoomOf(DemandOf(request));
  }
  Placement placement(request.mFrom,
                      std::move(request.mPlace),
                      aChoice.mPrefill,
                      aChoice.mServer,
                      request.mPieces,
                      aChoice.mCachedTokens);
  placement.Hold(aContext.mNow, aChoice.mWork);
  aChoice.mServer->RecordProbe(aContext.mNow);
  const double share = LimitShare(aContext);
  for (const ServerStatePtr& server : { aChoice.mPrefill, aChoice.mServer }) {
    if (server != nullptr) {
      server->Limiter().Take(aContext.mNow, share);
    }
  }
  aContext.Send(
    request.mFrom,
    placement.Reply(mId, PredictedDelay(aContext.mNow), aContext.mNow));
  mSuspectRuns.OnPlaced(placement.Request());
  mPlacements.emplace(aAttempt, std::move(placement));
}

} // namespace heatherfork::detail
