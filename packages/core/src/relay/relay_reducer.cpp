#include "heatherfork/relay_reducer.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>

#include "heatherfork/detail/membership/membership.h"
#include "heatherfork/detail/relay/pools.h"
#include "heatherfork/detail/relay/relay_requests.h"
#include "heatherfork/detail/relay/replica_book.h"
#include "heatherfork/detail/scheduling/predictive_scheduler.h"

namespace heatherfork {

using detail::Context;
using detail::RelayContext;

namespace {

// Callers may still hold an answer that names this node, for this long after
// the stop signal: what comes is taken.
constexpr Duration kTakesWhileLeaving = Milliseconds(3000);

// The last part of the grace period is for the last words to other nodes and
// the process's end. Not more: what a replica is still at work on counts as cut
// too soon before the period's last sixth.
constexpr int kPartsOfGrace = 10;

} // namespace

struct RelayReducer::State : public detail::MembershipListener
{
  State(NodeSettings aNode, RelaySettings aRelay);

  void Dispatch(RelayContext& aContext, const RelayEventBody& aBody);
  void DispatchToSelf(RelayContext& aContext);
  void OnMessage(RelayContext& aContext,
                 const NodeId& aFrom,
                 PeerMessage aMessage);
  void OnGone(Context& aContext, const NodeId& aNode) override;
  void OnReplaced(Context& aContext) override;

  void On(RelayContext& aContext, const RelayArrived& aEvent);
  void On(RelayContext& aContext, const RoutingRead& aEvent);
  void On(RelayContext& aContext, const ReplicasRead& aEvent);
  void On(RelayContext& aContext, const StoreReached& aEvent);
  void On(RelayContext& aContext, const PeerReceived& aEvent);
  void On(RelayContext& aContext, const PeerLost& aEvent);
  void On(RelayContext& aContext, const TimerFired& aEvent);
  void On(RelayContext& aContext, const StopRequested& aEvent);

  void TakeReplicas(RelayContext& aContext);
  void Rebuild(RelayContext& aContext);
  void NoteMembers(RelayContext& aContext);
  bool RefusesNew(Instant aNow) const;
  std::size_t NodesKnown() const;

  NodeSettings mSettings;
  RelaySettings mRelay;
  RoutingPtr mRouting;
  detail::ReplicaBook mBook;
  Replicas mReplicas; ///< In force, as last logged.
  ConfigurationPtr mConfiguration;
  std::mt19937_64 mRandom;
  std::deque<PeerMessage> mToSelf;
  detail::PredictiveScheduler mScheduler;
  detail::Membership mMembership;
  detail::RelayRequests mRequests;
  std::vector<NodeId> mGone; ///< Found while one event is reduced.
  Members mNoted;            ///< As last logged.
  bool mIsLeaving = false;
  bool mHasExited = false;
  Instant mLeavingSince{};
};

RelayReducer::State::State(NodeSettings aNode, RelaySettings aRelay)
  : mSettings(std::move(aNode))
  , mRelay(aRelay)
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
  DispatchToSelf(aContext);
  while (!mGone.empty()) {
    const NodeId gone = mGone.back();
    mGone.pop_back();
    mRequests.OnNodeLost(aContext, gone);
    mScheduler.OnNodeGone(aContext.mShared, gone);
    mRequests.TellSchedulers(aContext);
    DispatchToSelf(aContext);
  }
}

void
RelayReducer::State::DispatchToSelf(RelayContext& aContext)
{
  while (!mToSelf.empty()) {
    PeerMessage message = std::move(mToSelf.front());
    mToSelf.pop_front();
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
    // Clocks of two nodes may differ by seconds; spans do not.
    place->mDeadline = shared.mNow + place->mTimeLeft;
    mScheduler.On(shared, aFrom, *place);
    return;
  }
  if (auto* kept = std::get_if<PlacementsKept>(&aMessage)) {
    for (PlacementKept& item : kept->mKept) {
      item.mPlace.mDeadline = shared.mNow + item.mPlace.mTimeLeft;
    }
    mScheduler.Keep(shared, aFrom, *kept);
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
      }
    },
    aMessage);
}

void
RelayReducer::State::OnGone(Context& /*aContext*/, const NodeId& aNode)
{
  mGone.push_back(aNode);
}

void
RelayReducer::State::OnReplaced(Context& aContext)
{
  // Each life has a name of its own, so that this is never heard of.
  aContext.Emit(LogDecision{ {}, 0, "another node has this node's name" });
}

bool
RelayReducer::State::RefusesNew(Instant aNow) const
{
  return mIsLeaving && aNow - mLeavingSince >= kTakesWhileLeaving;
}

std::size_t
RelayReducer::State::NodesKnown() const
{
  std::set<Address> addresses;
  for (const Member& member : mMembership.All()) {
    addresses.insert(member.mPeerAddress);
  }
  return std::max<std::size_t>(addresses.size(), 1);
}

void
RelayReducer::State::On(RelayContext& aContext, const RelayArrived& aEvent)
{
  const bool refuses = RefusesNew(aContext.Now());
  if (mRouting == nullptr || refuses) {
    const Error error = refuses
                          ? Error{ ErrorCode::kLeaving, "this node is leaving" }
                          : Error{ ErrorCode::kNoBackendServer,
                                   "this node has no configuration yet" };
    aContext.Emit(RelayNote{
      "refused", aEvent.mRequest.mId, "reason=\"" + error.mMessage + "\"" });
    aContext.Emit(RelayMeasured{ {}, RelayOutcome::kRefused, {} });
    aContext.Emit(RefuseCaller{ aEvent.mCaller, error, Milliseconds(100) });
    return;
  }
  mRequests.On(aContext, aEvent);
}

void
RelayReducer::State::On(RelayContext& aContext, const RoutingRead& aEvent)
{
  // An older revision may come from a store that is behind.
  if (mRouting != nullptr &&
      aEvent.mRouting->mRevision <= mRouting->mRevision) {
    return;
  }
  mRouting = aEvent.mRouting;
  mRequests.Update(mRouting);
  aContext.Emit(
    RelayNote{ "routing",
               "",
               "revision=" + std::to_string(mRouting->mRevision) +
                 " routes=" + std::to_string(mRouting->mRoutes.size()) });
  Rebuild(aContext);
}

void
RelayReducer::State::On(RelayContext& aContext, const StoreReached& aEvent)
{
  mBook.OnReach(aContext.Now(), aEvent.mIsReached);
}

void
RelayReducer::State::On(RelayContext& aContext, const ReplicasRead& aEvent)
{
  mBook.OnPublished(aContext.Now(), aEvent.mReplicas);
  TakeReplicas(aContext);
}

void
RelayReducer::State::TakeReplicas(RelayContext& aContext)
{
  const Replicas& now = mBook.InForce();
  for (const Replica& replica : now) {
    const Replica* known = FindReplica(mReplicas, replica.mName);
    if (known == nullptr || *known != replica) {
      aContext.Emit(RelayNote{ "replica",
                               "",
                               "server=" + replica.mName.mValue + " service=" +
                                 replica.mService.mValue + " leaving=" +
                                 (replica.mLeaving ? "yes" : "no") });
    }
  }
  for (const Replica& replica : mReplicas) {
    if (FindReplica(now, replica.mName) == nullptr) {
      aContext.Emit(
        RelayNote{ "replica-gone", "", "server=" + replica.mName.mValue });
    }
  }
  mReplicas = now;
  Rebuild(aContext);
}

void
RelayReducer::State::Rebuild(RelayContext& aContext)
{
  if (mRouting == nullptr) {
    return;
  }
  mConfiguration = detail::PoolsOf(*mRouting, mReplicas);
  // One batch limit holds for a replica, whose requests come by any route: the
  // strictest pause counts.
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
  mRequests.OnLinkBroken(aContext, aEvent.mPeer);
}

void
RelayReducer::State::On(RelayContext& aContext, const TimerFired& aEvent)
{
  mMembership.On(aContext.mShared, aEvent);
  NoteMembers(aContext);
  if (mBook.Expire(aContext.Now())) {
    TakeReplicas(aContext);
  }
  mScheduler.On(aContext.mShared, aEvent);
  mRequests.OnTimer(aContext);
  if (!mIsLeaving || mHasExited) {
    return;
  }
  const Duration since = aContext.Now() - mLeavingSince;
  const bool isDone = RefusesNew(aContext.Now()) && mRequests.Size() == 0;
  if (isDone || since >= mRelay.mGrace - mRelay.mGrace / kPartsOfGrace) {
    mHasExited = true;
    aContext.Emit(
      RelayNote{ "stopped", "", "open=" + std::to_string(mRequests.Size()) });
    aContext.Emit(ExitProcess{});
  }
}

void
RelayReducer::State::NoteMembers(RelayContext& aContext)
{
  const Members& members = mMembership.All();
  if (members.size() == mNoted.size() &&
      std::equal(members.begin(),
                 members.end(),
                 mNoted.begin(),
                 [](const Member& aOne, const Member& aTwo) {
                   return aOne.mStatus == aTwo.mStatus &&
                          aOne.mNode == aTwo.mNode;
                 })) {
    return;
  }
  for (const Member& member : members) {
    const Member* noted = FindMember(mNoted, member.mNode);
    if (noted == nullptr || noted->mStatus != member.mStatus) {
      aContext.Emit(RelayNote{ "member",
                               "",
                               "node=" + member.mNode.mName.mValue +
                                 " status=" + ToString(member.mStatus) });
    }
  }
  mNoted = members;
  mRequests.TellSchedulers(aContext);
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
  aContext.Emit(
    RelayNote{ "stopping", "", "open=" + std::to_string(mRequests.Size()) });
}

RelayReducer::RelayReducer(NodeSettings aNode, RelaySettings aRelay)
  : mState(std::make_unique<State>(std::move(aNode), aRelay))
{
}

RelayReducer::~RelayReducer() = default;

RelayEffects
RelayReducer::Reduce(const RelayEvent& aEvent)
{
  Effects shared;
  RelayEffects effects;
  Context context{ mState->mSettings,      aEvent.mAt,
                   mState->mConfiguration, mState->mMembership.All(),
                   mState->mRandom,        shared,
                   mState->mToSelf };
  RelayContext relay{
    context, mState->mRelay, mState->mReplicas, mState->NodesKnown(), effects
  };
  mState->Dispatch(relay, aEvent.mBody);
  for (Effect& effect : shared) {
    if (auto* send = std::get_if<SendToPeer>(&effect)) {
      effects.emplace_back(std::move(*send));
    } else if (auto* note = std::get_if<LogDecision>(&effect)) {
      effects.emplace_back(RelayNote{ "membership", "", note->mText });
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
  view.mOpenRequests = mState->mRequests.Size();
  view.mLeaving = mState->mIsLeaving;
  return view;
}

const Members&
RelayReducer::KnownMembers() const
{
  return mState->mMembership.All();
}

std::vector<Address>
RelayReducer::EntriesFor(const ZoneName& /*aZone*/) const
{
  std::set<Address> entries;
  for (const Member& member : mState->mMembership.All()) {
    const bool isSelf = member.mNode == mState->mSettings.mSelf;
    const bool serves =
      isSelf ? View().IsReady() : member.mStatus == MemberStatus::kAlive;
    if (serves && !member.mCallerAddress.Empty()) {
      entries.insert(member.mCallerAddress);
    }
  }
  return { entries.begin(), entries.end() };
}

} // namespace heatherfork
