#include "heatherfork/relay_reducer.h"

#include <deque>
#include <random>

#include "heatherfork/detail/membership/membership.h"
#include "heatherfork/detail/relay/member_log.h"
#include "heatherfork/detail/relay/pools.h"
#include "heatherfork/detail/relay/relay_log.h"
#include "heatherfork/detail/relay/relay_peers.h"
#include "heatherfork/detail/relay/relay_requests.h"
#include "heatherfork/detail/relay/replica_registry.h"
#include "heatherfork/detail/scheduling/predictive_scheduler.h"
#include "heatherfork/duty_members.h"

namespace heatherfork {

using detail::Context;
using detail::RelayContext;

namespace {

// A node that starts, or misses a message, learns of leaving replicas well
// within the operators' bound.
constexpr Duration kShareLeavingInterval = Milliseconds(500);
constexpr int kShareLeavingPeers = 2;

// Callers ignore further addresses.
constexpr std::size_t kMaxEntries = 64;

} // namespace

struct RelayReducer::State : public detail::MembershipListener
{
  State(NodeSettings aNode, RelaySettings aRelaySettings);

  void Dispatch(RelayContext& aContext, const RelayEventBody& aBody);
  void DispatchLocalMessages(RelayContext& aContext);
  void OnMessage(RelayContext& aContext,
                 const NodeId& aFrom,
                 PeerMessage aMessage);
  void OnGone(Context& aContext, const NodeId& aNode) override;
  void OnReplaced(Context& aContext) override;

  void On(RelayContext& aContext, const RelayRequestArrived& aEvent);
  void On(RelayContext& aContext, const RelayLeavingSeen& aEvent);
  void On(RelayContext& aContext, const RoutingRead& aEvent);
  void On(RelayContext& aContext, const ReplicasRead& aEvent);
  void On(RelayContext& aContext, const StoreReachabilityChanged& aEvent);
  void On(RelayContext& aContext, const StoreRestored& aEvent);
  void On(RelayContext& aContext, const PeerReceived& aEvent);
  void On(RelayContext& aContext, const PeerLost& aEvent);
  void On(RelayContext& aContext, const TimerFired& aEvent);
  void On(RelayContext& aContext, const StopRequested& aEvent);

  void MarkLeaving(RelayContext& aContext, const LeavingReport& aReport);
  void ShareLeaving(RelayContext& aContext);
  void ApplyReplicas(RelayContext& aContext);
  void RebuildConfiguration(RelayContext& aContext);
  void ApplyMemberChanges(RelayContext& aContext);
  bool ShouldRefuseNew(Instant aNow) const;
  std::optional<Instant> LatestAnswerAt() const;
  double BudgetShare();

  NodeSettings mSettings;
  RelaySettings mRelaySettings;
  RoutingPtr mRouting;
  detail::ReplicaRegistry mReplicaRegistry;
  Replicas mReplicas; ///< As last applied and logged.
  ConfigurationPtr mConfiguration;
  std::mt19937_64 mRandom;
  std::deque<PeerMessage> mLocalMessages;
  detail::PredictiveScheduler mScheduler;
  detail::Membership mMembership;
  detail::RelayRequests mRequests;
  std::vector<NodeId> mGoneNodes; ///< Detected during the current event.
  detail::MemberLog mMemberLog;
  double mBudgetShare = 1; ///< At mShareView.
  std::uint64_t mShareView = 0;
  Instant mLeavingSharedAt{};
  bool mIsLeaving = false;
  bool mHasExited = false;
  Instant mLeavingSince{};
  Instant mNow{}; ///< Of the last event.
};

RelayReducer::State::State(NodeSettings aNode, RelaySettings aRelaySettings)
  : mSettings(std::move(aNode))
  , mRelaySettings(aRelaySettings)
  , mRandom(mSettings.mSeed)
  , mMembership(mSettings, *this, Members{})
{
}

void
RelayReducer::State::Dispatch(RelayContext& aContext,
                              const RelayEventBody& aBody)
{
  std::visit(
    [&](const auto& aEvent) {
      if constexpr (requires { On(aContext, aEvent); }) {
        On(aContext, aEvent);
      } else {
        mRequests.On(aContext, aEvent);
      }
    },
    aBody);
  DispatchLocalMessages(aContext);
  while (!mGoneNodes.empty()) {
    const NodeId gone = mGoneNodes.back();
    mGoneNodes.pop_back();
    mRequests.OnNodeGone(aContext, gone);
    mScheduler.OnNodeGone(aContext.mShared, gone);
    mRequests.UpdateSchedulers(aContext);
    DispatchLocalMessages(aContext);
  }
}

void
RelayReducer::State::DispatchLocalMessages(RelayContext& aContext)
{
  while (!mLocalMessages.empty()) {
    PeerMessage message = std::move(mLocalMessages.front());
    mLocalMessages.pop_front();
    OnMessage(aContext, mSettings.mSelf, std::move(message));
  }
}

void
RelayReducer::State::OnMessage(RelayContext& aContext,
                               const NodeId& aFrom,
                               PeerMessage aMessage)
{
  Context& shared = aContext.mShared;
  if (auto* place = std::get_if<PlaceRequest>(&aMessage)) {
    // Clocks of two nodes may differ by seconds, so the deadline is derived
    // from the remaining time.
    place->mDeadline = shared.mNow + place->mTimeLeft;
    mScheduler.On(shared, aFrom, *place);
    return;
  }
  if (auto* kept = std::get_if<PlacementsKept>(&aMessage)) {
    for (PlacementKept& item : kept->mKept) {
      item.mPlace.mDeadline = shared.mNow + item.mPlace.mTimeLeft;
    }
    mScheduler.AdoptPlacements(shared, aFrom, *kept);
    return;
  }
  if (auto* limits = std::get_if<LimitReport>(&aMessage)) {
    // The scheduler knows replicas by their names alone.
    std::erase_if(limits->mLimits, [this](const ServerLimit& aLimit) {
      const Replica* replica = FindReplica(mReplicas, aLimit.mServer);
      return replica == nullptr || replica->mStartedAt != aLimit.mStartedAt;
    });
  }
  if (const auto* leaving = std::get_if<LeavingReport>(&aMessage)) {
    MarkLeaving(aContext, *leaving);
    return;
  }
  std::visit(
    [&](const auto& aBody) {
      if constexpr (requires { mMembership.On(shared, aFrom, aBody); }) {
        mMembership.On(shared, aFrom, aBody);
      } else if constexpr (requires { mScheduler.On(shared, aFrom, aBody); }) {
        mScheduler.On(shared, aFrom, aBody);
      } else if constexpr (requires { mRequests.On(aContext, aBody); }) {
        mRequests.On(aContext, aBody);
      } else if constexpr (requires { mRequests.On(aContext, aFrom, aBody); }) {
        mRequests.On(aContext, aFrom, aBody);
      }
    },
    aMessage);
}

void
RelayReducer::State::OnGone(Context& /*aContext*/, const NodeId& aNode)
{
  mGoneNodes.push_back(aNode);
}

void
RelayReducer::State::OnReplaced(Context& aContext)
{
  // Not expected: each incarnation of a relay node has a name of its own.
  aContext.Emit(LogDecision{ {}, 0, "another node has this node's name" });
}

bool
RelayReducer::State::ShouldRefuseNew(Instant aNow) const
{
  return mIsLeaving &&
         aNow - mLeavingSince >= LeavingAcceptTime(mRelaySettings);
}

std::optional<Instant>
RelayReducer::State::LatestAnswerAt() const
{
  return mIsLeaving
           ? std::optional(mLeavingSince + LatestAnswer(mRelaySettings))
           : std::nullopt;
}

// Counts every address ever heard of, also of dead nodes: a share must not grow
// when others die, as they may have spent theirs.
double
RelayReducer::State::BudgetShare()
{
  if (mShareView == mMembership.ViewNumber()) {
    return mBudgetShare;
  }
  mShareView = mMembership.ViewNumber();
  std::map<Address, std::uint32_t> shares;
  for (const Member& member : mMembership.All()) {
    shares[member.mPeerAddress] = member.mProcessorShare;
  }
  mBudgetShare = detail::RetryBudgetShare(shares, mSettings.mProcessorShare);
  return mBudgetShare;
}

void
RelayReducer::State::On(RelayContext& aContext,
                        const RelayRequestArrived& aEvent)
{
  const bool shouldRefuse = ShouldRefuseNew(aContext.Now());
  if (mRouting == nullptr || shouldRefuse) {
    const Error error = shouldRefuse
                          ? Error{ ErrorCode::kLeaving, "this node is leaving" }
                          : Error{ ErrorCode::kNoBackendServer,
                                   "this node has no configuration yet" };
    aContext.Emit(RelayLogEntry{
      "refused", aEvent.mRequest.mId, "reason=\"" + error.mMessage + "\"" });
    aContext.Emit(RelayOutcomeMeasured{ {}, RelayOutcome::kRefused, {} });
    aContext.Emit(
      RefuseCaller{ aEvent.mCaller, error, detail::kMinRetryAfter });
    return;
  }
  mRequests.On(aContext, aEvent);
}

void
RelayReducer::State::On(RelayContext& aContext, const RoutingRead& aEvent)
{
  // A store replica that lags behind may return an older revision.
  if (mRouting != nullptr &&
      aEvent.mRouting->mRevision <= mRouting->mRevision) {
    return;
  }
  mRouting = aEvent.mRouting;
  mRequests.Update(mRouting);
  mRequests.UpdateQuotas(aContext, mRouting);
  aContext.Emit(
    RelayLogEntry{ "routing",
                   "",
                   "revision=" + std::to_string(mRouting->mRevision) +
                     " routes=" + std::to_string(mRouting->mRoutes.size()) });
  RebuildConfiguration(aContext);
  mRequests.RefuseWithdrawnKeys(aContext);
}

void
RelayReducer::State::On(RelayContext& aContext,
                        const StoreReachabilityChanged& aEvent)
{
  mReplicaRegistry.OnStoreReachability(aContext.Now(), aEvent.mIsReachable);
}

void
RelayReducer::State::On(RelayContext& aContext, const StoreRestored&)
{
  mReplicaRegistry.OnStoreRestored(aContext.Now());
}

void
RelayReducer::State::On(RelayContext& aContext, const ReplicasRead& aEvent)
{
  mReplicaRegistry.OnPublished(aContext.Now(), aEvent.mReplicas);
  ApplyReplicas(aContext);
}

void
RelayReducer::State::On(RelayContext& aContext, const RelayLeavingSeen& aEvent)
{
  const Replica* replica = mRequests.CalledReplica(aEvent.mCall);
  if (replica == nullptr) {
    return;
  }
  const LeavingServer server{ replica->mName, replica->mStartedAt };
  if (mReplicaRegistry.MarkLeaving(aContext.Now(), server)) {
    detail::LogReplicaLeaving(aContext, server.mServer);
    detail::SendToOthers(aContext, LeavingReport{ { server } });
    ApplyReplicas(aContext);
  }
}

void
RelayReducer::State::MarkLeaving(RelayContext& aContext,
                                 const LeavingReport& aReport)
{
  bool hasChanged = false;
  for (const LeavingServer& server : aReport.mServers) {
    hasChanged =
      mReplicaRegistry.MarkLeaving(aContext.Now(), server) || hasChanged;
  }
  if (hasChanged) {
    ApplyReplicas(aContext);
  }
}

void
RelayReducer::State::ShareLeaving(RelayContext& aContext)
{
  if (aContext.Now() - mLeavingSharedAt < kShareLeavingInterval) {
    return;
  }
  mLeavingSharedAt = aContext.Now();
  const LeavingReport report{ mReplicaRegistry.LeavingUnpublished() };
  if (report.mServers.empty()) {
    return;
  }
  for (const NodeId& peer :
       detail::ChooseRandomPeers(aContext, kShareLeavingPeers)) {
    aContext.mShared.Send(peer, report);
  }
}

void
RelayReducer::State::ApplyReplicas(RelayContext& aContext)
{
  const Replicas& current = mReplicaRegistry.Effective();
  detail::LogReplicaChanges(aContext, mReplicas, current);
  for (const Replica& replica : mReplicas) {
    const Replica* now = FindReplica(current, replica.mName);
    if (now == nullptr || now->mStartedAt != replica.mStartedAt) {
      mScheduler.ForgetLimit(replica.mName);
    }
  }
  mReplicas = current;
  mRequests.OnReplicas(aContext);
  RebuildConfiguration(aContext);
}

void
RelayReducer::State::RebuildConfiguration(RelayContext& aContext)
{
  if (mRouting == nullptr) {
    return;
  }
  mConfiguration = detail::MakePoolConfiguration(*mRouting, mReplicas);
  // A replica has one batch limit for the requests of all routes, so the
  // strictest gap target applies.
  Duration gap{};
  for (const Route& route : mRouting->mRoutes) {
    if (route.mGapTarget > Duration{} &&
        (gap == Duration{} || route.mGapTarget < gap)) {
      gap = route.mGapTarget;
    }
  }
  if (gap > Duration{}) {
    mSettings.mPolicy.mScheduling.mTokenTarget = gap;
  }
  if (!mReplicas.empty()) {
    mMembership.AnnounceServing(aContext.mShared);
  }
}

void
RelayReducer::State::On(RelayContext& aContext, const PeerReceived& aEvent)
{
  OnMessage(aContext, aEvent.mFrom, aEvent.mMessage);
}

void
RelayReducer::State::On(RelayContext& aContext, const PeerLost& aEvent)
{
  mMembership.On(aContext.mShared, aEvent);
  mRequests.OnConnectionLost(aContext, aEvent.mPeer);
}

void
RelayReducer::State::On(RelayContext& aContext, const TimerFired& aEvent)
{
  mMembership.On(aContext.mShared, aEvent);
  ApplyMemberChanges(aContext);
  if (mReplicaRegistry.Expire(aContext.Now())) {
    ApplyReplicas(aContext);
  }
  ShareLeaving(aContext);
  mScheduler.On(aContext.mShared, aEvent);
  mRequests.OnTimer(aContext);
  if (!ShouldRefuseNew(aContext.Now()) || mHasExited) {
    return;
  }
  const std::string open = std::to_string(mRequests.Size());
  if (aContext.Now() >= *LatestAnswerAt()) {
    mRequests.EndAll(aContext);
  }
  if (mRequests.Size() == 0) {
    mHasExited = true;
    aContext.Emit(RelayLogEntry{ "stopped", "", "open=" + open });
    aContext.Emit(ExitProcess{});
  }
}

void
RelayReducer::State::ApplyMemberChanges(RelayContext& aContext)
{
  const detail::MemberLog::Changes changes =
    mMemberLog.Update(aContext, mMembership.ViewNumber());
  if (changes.mAny) {
    mRequests.OnNodesJoined(aContext, changes.mJoined);
    mRequests.UpdateSchedulers(aContext);
  }
}

void
RelayReducer::State::On(RelayContext& aContext, const StopRequested& aEvent)
{
  if (mIsLeaving) {
    return;
  }
  mIsLeaving = true;
  mLeavingSince = aContext.Now();
  mMembership.On(aContext.mShared, aEvent);
  aContext.Emit(RelayLogEntry{
    "stopping", "", "open=" + std::to_string(mRequests.Size()) });
  aContext.mLatestAnswer = LatestAnswerAt();
  mRequests.OnStopping(aContext);
}

RelayReducer::RelayReducer(NodeSettings aNode, RelaySettings aRelaySettings)
  : mState(std::make_unique<State>(std::move(aNode), aRelaySettings))
{
}

RelayReducer::~RelayReducer() = default;

RelayEffects
RelayReducer::Reduce(const RelayEvent& aEvent)
{
  mState->mNow = aEvent.mAt;
  Effects shared;
  RelayEffects effects;
  Context context{ mState->mSettings,      aEvent.mAt,
                   mState->mConfiguration, mState->mMembership.All(),
                   mState->mRandom,        shared,
                   mState->mLocalMessages, mState->mMembership.ViewNumber() };
  RelayContext relayContext{ context,
                             mState->mRelaySettings,
                             mState->mReplicas,
                             mState->BudgetShare(),
                             mState->LatestAnswerAt(),
                             effects };
  mState->Dispatch(relayContext, aEvent.mBody);
  for (Effect& effect : shared) {
    if (auto* send = std::get_if<SendToPeer>(&effect)) {
      effects.emplace_back(std::move(*send));
    } else if (auto* decision = std::get_if<LogDecision>(&effect)) {
      effects.emplace_back(RelayLogEntry{ "membership", "", decision->mText });
    }
  }
  return effects;
}

RelayView
RelayReducer::View() const
{
  RelayView view;
  view.mRouting = mState->mRouting;
  view.mReplicas = mState->mReplicas.size();
  view.mLeaving = mState->mIsLeaving;
  mState->mRequests.Describe(view, mState->mRelaySettings, mState->mNow);
  return view;
}

std::optional<Error>
RelayReducer::HeadError(const RelayRequest& aRequest, Instant aNow) const
{
  return mState->mRequests.HeadError(mState->mRelaySettings, aNow, aRequest);
}

const Members&
RelayReducer::KnownMembers() const
{
  return mState->mMembership.All();
}

std::vector<Address>
RelayReducer::Entries() const
{
  Members members = mState->mMembership.All();
  if (!View().IsReady()) {
    std::erase_if(members, [&](const Member& aMember) {
      return aMember.mNode == mState->mSettings.mSelf;
    });
  }
  return EntryAddresses(members, kMaxEntries);
}

} // namespace heatherfork
