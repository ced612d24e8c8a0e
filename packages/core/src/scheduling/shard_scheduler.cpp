#include "heatherfork/detail/scheduling/shard_scheduler.h"

#include <algorithm>

#include "heatherfork/detail/scheduling/pieces.h"

namespace heatherfork::detail {

namespace {

constexpr Duration kExpiryInterval = Milliseconds(1000);

// Exceeds the time that a reply takes to the requesting node. A younger
// placement may be missing from the report of that node and is not released.
constexpr Duration kReplyGrace = Milliseconds(1000);

// A placement whose end message was lost is released this long after its
// deadline.
constexpr Duration kLostPlacementGrace = Milliseconds(30000);

} // namespace

void
ShardScheduler::Configure(Context& aContext, const Shard& aShard)
{
  mId = aShard.mId;
  mKey = aShard.mKey;
  mLimits = aContext.mConfiguration->mLimits;
  std::vector<ServerStatePtr> servers;
  for (const BackendServer* server : aShard.mServers) {
    ServerStatePtr state = StateOf(server->mName);
    if (state == nullptr) {
      state = std::make_shared<ServerState>(*server, aContext.mNow);
    }
    state->SetServer(*server);
    servers.push_back(std::move(state));
  }
  mServers = std::move(servers);
  mMostPieces = 0;
  for (const ServerStatePtr& state : mServers) {
    const BackendServer& server = state->Server();
    if (server.mRole == Role::kDecode && !server.mLeaving) {
      mMostPieces = std::max(mMostPieces, server.mPieces);
    }
  }
  mPriorities.clear();
  for (const WorkClass& workClass : aContext.mConfiguration->mClasses) {
    mPriorities[workClass.mName] = workClass.mPriority;
  }
  mWeights.clear();
  for (const Workspace& workspace : aContext.mConfiguration->mWorkspaces) {
    mWeights[workspace.mName] = workspace.mWeight;
  }
  RefuseUnservable(aContext);
}

// A new configuration may remove the last server that can run a queued request.
void
ShardScheduler::RefuseUnservable(Context& aContext)
{
  std::vector<std::pair<AttemptId, NodeId>> unservable;
  for (const auto& [attempt, request] : mQueue.All()) {
    if (!HasServersFor(request.mPlace)) {
      unservable.emplace_back(attempt, request.mFrom);
    }
  }
  for (const auto& [attempt, from] : unservable) {
    RemoveQueued(attempt);
    Refuse(aContext,
           from,
           attempt,
           ErrorCode::kNoBackendServer,
           "expected a backend server that may take this request, its last "
           "one is gone");
  }
}

void
ShardScheduler::RemoveQueued(const AttemptId& aAttempt)
{
  mIsolation.End(aAttempt);
  mQueue.Remove(aAttempt);
}

ServerStatePtr
ShardScheduler::StateOf(const ServerName& aName) const
{
  for (const ServerStatePtr& state : mServers) {
    if (state->Server().mName == aName) {
      return state;
    }
  }
  return nullptr;
}

bool
ShardScheduler::HasServersFor(const PlaceRequest& aPlace) const
{
  bool hasPrefill = aPlace.mKind == RequestKind::kPlainCall;
  bool hasServer = false;
  const auto& excluded = aPlace.mExcluded;
  for (const ServerStatePtr& state : mServers) {
    const BackendServer& server = state->Server();
    const bool isExcluded =
      std::find(excluded.begin(), excluded.end(), server.mName) !=
      excluded.end();
    if (server.mLeaving || isExcluded) {
      continue;
    }
    hasPrefill = hasPrefill || server.mRole == Role::kPrefill;
    hasServer = hasServer || server.mRole == RoleFor(aPlace);
  }
  return hasPrefill && hasServer;
}

// A prompt that fits only without the reserve for its output runs alone.
int
ShardScheduler::PiecesNeeded(const PlaceRequest& aPlace) const
{
  if (aPlace.mKind == RequestKind::kPlainCall) {
    return 0;
  }
  const int pieces =
    PiecesFor(mLimits, aPlace.mPromptTokens, aPlace.mMaxTokens);
  return mMostPieces > 0 ? std::min(pieces, mMostPieces) : pieces;
}

bool
ShardScheduler::IsTooLarge(const PlaceRequest& aPlace) const
{
  return aPlace.mKind == RequestKind::kCompletion && mMostPieces > 0 &&
         PiecesFor(mLimits, aPlace.mPromptTokens, 0) > mMostPieces;
}

bool
ShardScheduler::HasAttempt(const AttemptId& aAttempt) const
{
  return mPlacements.contains(aAttempt) || mQueue.Contains(aAttempt);
}

void
ShardScheduler::Place(Context& aContext,
                      const NodeId& aFrom,
                      const PlaceRequest& aPlace)
{
  const auto it = mPlacements.find(aPlace.mAttempt);
  if (it != mPlacements.end()) {
    // Repeated request: the reply was late or lost.
    aContext.Send(
      aFrom,
      it->second.Reply(mId, PredictedDelay(aContext.mNow), aContext.mNow));
    return;
  }
  if (mQueue.Contains(aPlace.mAttempt)) {
    aContext.Send(aFrom, PlacementQueued{ aPlace.mAttempt });
    return;
  }
  if (!HasServersFor(aPlace)) {
    Refuse(aContext,
           aFrom,
           aPlace.mAttempt,
           ErrorCode::kNoBackendServer,
           "expected a backend server that may take this request, found none");
    return;
  }
  if (IsTooLarge(aPlace)) {
    Refuse(aContext,
           aFrom,
           aPlace.mAttempt,
           ErrorCode::kQueueFull,
           "expected a prompt of at most " + std::to_string(mMostPieces) +
             " pieces of KV cache, found a larger one");
    return;
  }
  if (mQueue.Size() >= mLimits.mMaxQueued) {
    Refuse(aContext,
           aFrom,
           aPlace.mAttempt,
           ErrorCode::kQueueFull,
           "expected room in the queue, found it full");
    return;
  }
  if (!CanBeAnswered(RemainingWorkOf(aPlace), aContext.mNow, Duration{})) {
    Refuse(aContext,
           aFrom,
           aPlace.mAttempt,
           ErrorCode::kDeadlineTooShort,
           "expected a deadline after the first token, found it before");
    return;
  }
  mSuspectRuns.OnAsked(aPlace, aContext.mNow);
  Enqueue(aContext, aFrom, aPlace);
  Dispatch(aContext);
  // Longer queues are reviewed by the next tick.
  if (mQueue.Contains(aPlace.mAttempt) &&
      mQueue.Size() <=
        static_cast<std::size_t>(SettingsOf(aContext).mLookahead)) {
    Review(aContext);
    Dispatch(aContext);
  }
  if (mQueue.Contains(aPlace.mAttempt)) {
    aContext.Send(aFrom, PlacementQueued{ aPlace.mAttempt });
  }
}

void
ShardScheduler::AdoptPlacement(Context& aContext,
                               const NodeId& aFrom,
                               const PlacementKept& aKept)
{
  const ServerStatePtr server = StateOf(aKept.mServer);
  const AttemptId& attempt = aKept.mPlace.mAttempt;
  if (server == nullptr || HasAttempt(attempt)) {
    return;
  }
  Placement placement(
    aFrom, aKept.mPlace, nullptr, server, PiecesNeeded(aKept.mPlace), 0);
  placement.Hold(aContext.mNow, Duration{});
  mSuspectRuns.OnAsked(aKept.mPlace, aContext.mNow);
  mSuspectRuns.OnPlaced(aKept.mPlace);
  mPlacements.emplace(attempt, std::move(placement));
}

void
ShardScheduler::ReleaseUnheld(Context& aContext,
                              const NodeId& aFrom,
                              const std::set<AttemptId>& aHeld)
{
  for (auto it = mPlacements.begin(); it != mPlacements.end();) {
    const auto next = std::next(it);
    // The reply may not have reached the node yet.
    const bool isReplyDelivered =
      aContext.mNow - it->second.HeldAt() > kReplyGrace;
    if (isReplyDelivered && it->second.From() == aFrom &&
        !aHeld.contains(it->first)) {
      ReleasePlacement(aContext, it);
    }
    it = next;
  }
  Dispatch(aContext);
}

void
ShardScheduler::Enqueue(Context& aContext,
                        const NodeId& aFrom,
                        const PlaceRequest& aPlace)
{
  const SchedulingSettings& settings = SettingsOf(aContext);
  const Duration target =
    aPlace.mTarget > Duration{} ? aPlace.mTarget : settings.mFirstTokenTarget;
  QueuedRequest request{ aFrom, aPlace };
  request.mRemaining = RemainingWorkOf(aPlace);
  request.mPieces = PiecesNeeded(aPlace);
  request.mArrivedAt = aContext.mNow;
  const auto weight = mWeights.find(aPlace.mWorkspace);
  const bool mayWait = aPlace.mMayWait || !settings.mUseTargets;
  request.mPublished = PublishedOrder{ -mPriorities[aPlace.mClass],
                                       aPlace.mWorkspace,
                                       weight == mWeights.end()
                                         ? 1.0
                                         : static_cast<double>(weight->second),
                                       mayWait,
                                       aContext.mNow + target };
  request.mStage =
    StageOf(request.mRemaining, request.mPublished, aContext.mNow);
  // Without fairness all costs are zero, so time alone decides the order.
  request.mCost =
    settings.mUseFairness
      ? static_cast<double>(mModel.Prefill(aPlace.mPromptTokens).count())
      : 0;
  if (mQueue.Size() == 0) {
    mOldestArrival = aContext.mNow;
    mReviewedWait = Duration{};
  }
  mQueue.Push(std::move(request));
}

Duration
ShardScheduler::PredictedWork(const PlaceRequest& aPlace) const
{
  return aPlace.mKind == RequestKind::kPlainCall
           ? mModel.PlainCall()
           : mModel.Prefill(aPlace.mPromptTokens) +
               mModel.Transfer(aPlace.mPromptTokens) + mModel.FirstStep(1);
}

RemainingWork
ShardScheduler::RemainingWorkOf(const PlaceRequest& aPlace) const
{
  const Duration work = PredictedWork(aPlace);
  return RemainingWork{ aPlace.mDeadline,
                        work,
                        work + std::max(Duration{}, mWorkError.Upper()) };
}

void
ShardScheduler::Refuse(Context& aContext,
                       const NodeId& aTo,
                       const AttemptId& aAttempt,
                       ErrorCode aCode,
                       std::string aMessage)
{
  aContext.Send(aTo,
                PlacementRefused{ aAttempt,
                                  Error{ aCode, std::move(aMessage) },
                                  mId,
                                  PredictedDelay(aContext.mNow) });
}

void
ShardScheduler::RecordProgress(Context& aContext,
                               const PlacementProgress& aProgress)
{
  const auto it = mPlacements.find(aProgress.mAttempt);
  if (it == mPlacements.end()) {
    return;
  }
  const LearningContext learning{
    mModel, mHints, SettingsOf(aContext), aContext.mNow
  };
  if (aProgress.mStep == PlacementStep::kFirstToken) {
    RecordWork(it->second, aContext.mNow);
  }
  it->second.Learn(learning, aProgress);
  Dispatch(aContext);
}

void
ShardScheduler::End(Context& aContext, const PlacementEnded& aEnded)
{
  RemoveQueued(aEnded.mAttempt);
  const auto it = mPlacements.find(aEnded.mAttempt);
  if (it == mPlacements.end()) {
    return;
  }
  const LearningContext learning{
    mModel, mHints, SettingsOf(aContext), aContext.mNow
  };
  if (aEnded.mResult == PlacementResult::kDone) {
    if (it->second.Request().mKind == RequestKind::kPlainCall) {
      RecordWork(it->second, aContext.mNow);
    }
    mHoldTime.Observe(aContext.mNow - it->second.HeldAt());
  }
  it->second.Learn(learning, aEnded);
  const ServerStatePtr failed = StateOf(aEnded.mFailed);
  if (aEnded.mResult == PlacementResult::kServerFailed && failed != nullptr) {
    failed->RecordFailure(aContext.mNow, learning.mSettings);
  }
  mSuspectRuns.OnEnded(it->second.Request(), aEnded.mResult, aContext.mNow);
  ReleasePlacement(aContext, it);
  Dispatch(aContext);
}

void
ShardScheduler::ReleasePlacement(Context& aContext, Placements::iterator aIt)
{
  mIsolation.End(aIt->first);
  mSuspectRuns.OnReleased(aIt->second.Request());
  aIt->second.Release(aContext.mNow);
  mPlacements.erase(aIt);
}

void
ShardScheduler::RecordWork(const Placement& aPlacement, Instant aNow)
{
  mWorkError.Observe(aNow - aPlacement.HeldAt() -
                     PredictedWork(aPlacement.Request()));
}

void
ShardScheduler::RecordReport(const ReportReceived& aReport)
{
  const ServerStatePtr state = StateOf(aReport.mServer);
  if (state != nullptr) {
    state->RecordReport(aReport.mReport);
  }
}

void
ShardScheduler::SetLimit(Context& aContext,
                         const ServerName& aServer,
                         const std::optional<RequestRate>& aRate)
{
  const ServerStatePtr state = StateOf(aServer);
  if (state != nullptr) {
    mHasLimits = true;
    state->Limiter().Set(aContext.mNow, aRate);
  }
}

void
ShardScheduler::ForgetLimit(const ServerName& aServer)
{
  const ServerStatePtr state = StateOf(aServer);
  if (state != nullptr) {
    state->Limiter().Reset();
  }
}

void
ShardScheduler::Tick(Context& aContext)
{
  if (aContext.mNow - mLastExpiryAt >= kExpiryInterval) {
    mLastExpiryAt = aContext.mNow;
    Expire(aContext);
  }
  std::size_t slow = 0;
  const SchedulingSettings& settings = SettingsOf(aContext);
  for (const ServerStatePtr& state : mServers) {
    const double slowness = state->RememberedSlowness(aContext.mNow, settings);
    slow += slowness > settings.mStragglerThreshold ? 1 : 0;
  }
  mModel.SetAcceptAll(slow * 2 > mServers.size());
  Review(aContext);
  Dispatch(aContext);
}

void
ShardScheduler::Expire(Context& aContext)
{
  mSuspectRuns.Expire(aContext.mNow);
  for (auto it = mPlacements.begin(); it != mPlacements.end();) {
    const auto next = std::next(it);
    const Instant deadline = it->second.Request().mDeadline;
    if (deadline + kLostPlacementGrace <= aContext.mNow) {
      ReleasePlacement(aContext, it);
    }
    it = next;
  }
}

void
ShardScheduler::OnNodeGone(Context& aContext, const NodeId& aNode)
{
  std::vector<AttemptId> queued;
  for (const auto& [attempt, request] : mQueue.All()) {
    if (request.mFrom == aNode) {
      queued.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : queued) {
    RemoveQueued(attempt);
  }
  for (auto it = mPlacements.begin(); it != mPlacements.end();) {
    const auto next = std::next(it);
    if (it->second.From() == aNode) {
      ReleasePlacement(aContext, it);
    }
    it = next;
  }
  Dispatch(aContext);
}

Duration
ShardScheduler::PredictedDelay(Instant aNow) const
{
  if (mQueue.Size() == 0) {
    return Duration{};
  }
  return std::max(aNow - mOldestArrival, mReviewedWait);
}

} // namespace heatherfork::detail
