#include "heatherfork/detail/scheduling/shard_scheduler.h"

#include <algorithm>

#include "heatherfork/detail/scheduling/pieces.h"

namespace heatherfork::detail {

namespace {

constexpr double kNewestRelease = 0.05; ///< Weight of the newest interval.
constexpr Duration kExpiryInterval = Milliseconds(1000);

// Longer than a placement is on its way to the node that asked for it.
constexpr Duration kReplyTime = Milliseconds(1000);
constexpr Duration kLongestInterval = Milliseconds(1000);

// A placement whose end was never heard of is freed this long after its
// deadline.
constexpr Duration kLostPlacementGrace = Milliseconds(30000);

Duration
Part(Duration aDuration, int aPercent)
{
  return aDuration * aPercent / 100;
}

Role
RoleFor(const PlaceRequest& aPlace)
{
  return aPlace.mKind == RequestKind::kPlainCall ? Role::kPlain : Role::kDecode;
}

} // namespace

void
ShardScheduler::Bind(Context& aContext, const Shard& aShard)
{
  mId = aShard.mId;
  mLimits = aContext.mConfiguration->mLimits;
  std::vector<ServerStatePtr> servers;
  for (const BackendServer* server : aShard.mServers) {
    ServerStatePtr state = StateOf(server->mName);
    if (state == nullptr) {
      state = std::make_shared<ServerState>(*server, aContext.mNow);
    }
    state->Rebind(*server);
    servers.push_back(std::move(state));
  }
  mServers = std::move(servers);
  mPriorities.clear();
  for (const WorkClass& workClass : aContext.mConfiguration->mClasses) {
    mPriorities[workClass.mName] = workClass.mPriority;
  }
  mWeights.clear();
  for (const Workspace& workspace : aContext.mConfiguration->mWorkspaces) {
    mWeights[workspace.mName] = workspace.mWeight;
  }
  RefuseStranded(aContext);
}

// A change may take away the last server that a queued request could run on.
void
ShardScheduler::RefuseStranded(Context& aContext)
{
  std::vector<std::pair<AttemptId, NodeId>> stranded;
  for (const auto& [key, waiting] : mQueue.All()) {
    if (!HasServersFor(waiting.mPlace)) {
      stranded.emplace_back(key.mAttempt, waiting.mFrom);
    }
  }
  for (const auto& [attempt, from] : stranded) {
    Drop(attempt);
    Refuse(aContext,
           from,
           attempt,
           ErrorCode::kNoBackendServer,
           "expected a backend server that may take this request, its last "
           "one is gone");
  }
}

void
ShardScheduler::Drop(const AttemptId& aAttempt)
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

int
ShardScheduler::Pieces(const PlaceRequest& aPlace) const
{
  return aPlace.mKind == RequestKind::kPlainCall
           ? 0
           : PiecesFor(mLimits, aPlace.mPromptTokens, aPlace.mMaxTokens);
}

bool
ShardScheduler::Knows(const AttemptId& aAttempt) const
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
    // Asked again, because the reply was late or lost.
    aContext.Send(aFrom, it->second.Reply(mId, Delay(aContext.mNow)));
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
  if (mQueue.Size() >= mLimits.mMaxQueued) {
    Refuse(aContext,
           aFrom,
           aPlace.mAttempt,
           ErrorCode::kQueueFull,
           "expected room in the queue, found it full");
    return;
  }
  if (aContext.mNow + mModel.FirstStep(1) >= aPlace.mDeadline) {
    Refuse(aContext,
           aFrom,
           aPlace.mAttempt,
           ErrorCode::kDeadlineTooShort,
           "expected a deadline after the first token, found it before");
    return;
  }
  Enqueue(aContext, aFrom, aPlace);
  Dispatch(aContext);
  if (mQueue.Contains(aPlace.mAttempt)) {
    aContext.Send(aFrom, PlacementQueued{ aPlace.mAttempt });
  }
}

void
ShardScheduler::Keep(Context& aContext,
                     const NodeId& aFrom,
                     const PlacementKept& aKept)
{
  const ServerStatePtr server = StateOf(aKept.mServer);
  const AttemptId& attempt = aKept.mPlace.mAttempt;
  if (server == nullptr || Knows(attempt)) {
    return;
  }
  Placement placement(
    aFrom, aKept.mPlace, nullptr, server, Pieces(aKept.mPlace), 0);
  placement.Hold(aContext.mNow, Duration{});
  mPlacements.emplace(attempt, std::move(placement));
}

void
ShardScheduler::DropUnheld(Context& aContext,
                           const NodeId& aFrom,
                           const std::set<AttemptId>& aHeld)
{
  for (auto it = mPlacements.begin(); it != mPlacements.end();) {
    const auto next = std::next(it);
    // A reply may still be on its way to the node.
    const bool isKnown = aContext.mNow - it->second.HeldAt() > kReplyTime;
    if (isKnown && it->second.From() == aFrom && !aHeld.contains(it->first)) {
      Free(aContext, it);
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
  const Duration asked =
    aPlace.mTarget > Duration{} ? aPlace.mTarget : settings.mFirstTokenTarget;
  const Duration target = Part(asked, 100 - settings.mFirstTokenMarginPercent);
  Waiting waiting{ aFrom, aPlace };
  waiting.mPriority = mPriorities[aPlace.mClass];
  waiting.mArrivedAt = aContext.mNow;
  waiting.mTargetAt = std::min(aContext.mNow + target, aPlace.mDeadline);
  const auto weight = mWeights.find(aPlace.mWorkspace);
  const double share = weight == mWeights.end() ? 1 : weight->second;
  // Without fairness every request costs nothing and goes by its deadline.
  const double cost =
    settings.mUseFairness
      ? static_cast<double>(mModel.Prefill(aPlace.mPromptTokens).count())
      : 0;
  const bool isBack = aPlace.mTarget > Duration{} &&
                      mReturns.IsBack(aContext.mNow, aPlace.mContent);
  const Lane lane = aPlace.mMayWait || isBack ? Lane::kWaiting : Lane::kInTime;
  mQueue.Push(lane, std::move(waiting), cost, share);
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
                                  Delay(aContext.mNow) });
}

void
ShardScheduler::Note(Context& aContext, const PlacementProgress& aProgress)
{
  const auto it = mPlacements.find(aProgress.mAttempt);
  if (it == mPlacements.end()) {
    return;
  }
  const Lessons lessons{ mModel, mHints, SettingsOf(aContext), aContext.mNow };
  it->second.Learn(lessons, aProgress);
  Dispatch(aContext);
}

void
ShardScheduler::End(Context& aContext, const PlacementEnded& aEnded)
{
  Drop(aEnded.mAttempt);
  const auto it = mPlacements.find(aEnded.mAttempt);
  if (it == mPlacements.end()) {
    return;
  }
  const Lessons lessons{ mModel, mHints, SettingsOf(aContext), aContext.mNow };
  it->second.Learn(lessons, aEnded);
  const ServerStatePtr failed = StateOf(aEnded.mFailed);
  if (aEnded.mResult == PlacementResult::kServerFailed && failed != nullptr) {
    failed->NoteFailure(aContext.mNow, lessons.mSettings);
  }
  Free(aContext, it);
  Dispatch(aContext);
}

void
ShardScheduler::Free(Context& aContext, Placements::iterator aIt)
{
  mIsolation.End(aIt->first);
  aIt->second.Release(aContext.mNow);
  NoteRelease(aContext.mNow);
  mPlacements.erase(aIt);
}

void
ShardScheduler::NoteRelease(Instant aNow)
{
  const Duration interval = std::min(aNow - mReleasedAt, kLongestInterval);
  mReleasedAt = aNow;
  const auto change =
    static_cast<double>((interval - mReleaseInterval).count());
  mReleaseInterval +=
    Duration(static_cast<std::int64_t>(kNewestRelease * change));
}

void
ShardScheduler::Note(const ReportReceived& aReport)
{
  const ServerStatePtr state = StateOf(aReport.mServer);
  if (state != nullptr) {
    state->Note(aReport.mReport);
  }
}

void
ShardScheduler::Tick(Context& aContext)
{
  if (aContext.mNow - mExpiredAt >= kExpiryInterval) {
    mExpiredAt = aContext.mNow;
    Expire(aContext);
  }
  std::size_t slow = 0;
  const SchedulingSettings& settings = SettingsOf(aContext);
  for (const ServerStatePtr& state : mServers) {
    const double slowness = state->SlownessRemembered(aContext.mNow, settings);
    slow += slowness > settings.mSlowFrom ? 1 : 0;
  }
  mModel.AcceptAll(slow * 2 > mServers.size());
  Dispatch(aContext);
}

void
ShardScheduler::Expire(Context& aContext)
{
  std::vector<std::pair<AttemptId, NodeId>> late;
  for (const auto& [key, waiting] : mQueue.All()) {
    if (waiting.mPlace.mDeadline <= aContext.mNow) {
      late.emplace_back(key.mAttempt, waiting.mFrom);
    }
  }
  Promote(aContext.mNow);
  for (const auto& [attempt, from] : late) {
    Drop(attempt);
    Refuse(aContext,
           from,
           attempt,
           ErrorCode::kDeadlineTooShort,
           "expected a place before the deadline, found none");
  }
  for (auto it = mPlacements.begin(); it != mPlacements.end();) {
    const auto next = std::next(it);
    const Instant deadline = it->second.Place().mDeadline;
    if (deadline + kLostPlacementGrace <= aContext.mNow) {
      Free(aContext, it);
    }
    it = next;
  }
}

void
ShardScheduler::OnNodeGone(Context& aContext, const NodeId& aNode)
{
  std::vector<AttemptId> queued;
  for (const auto& [key, waiting] : mQueue.All()) {
    if (waiting.mFrom == aNode) {
      queued.push_back(key.mAttempt);
    }
  }
  for (const AttemptId& attempt : queued) {
    Drop(attempt);
  }
  for (auto it = mPlacements.begin(); it != mPlacements.end();) {
    const auto next = std::next(it);
    if (it->second.From() == aNode) {
      Free(aContext, it);
    }
    it = next;
  }
  Dispatch(aContext);
}

Duration
ShardScheduler::Delay(Instant aNow) const
{
  if (mQueue.Size() == 0) {
    return Duration{};
  }
  const Instant oldest = mQueue.All().begin()->second.mArrivedAt;
  return std::max(aNow - oldest,
                  static_cast<int>(mQueue.Size()) * mReleaseInterval);
}

} // namespace heatherfork::detail
