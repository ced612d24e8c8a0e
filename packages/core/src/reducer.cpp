#include "heatherfork/reducer.h"

#include <deque>
#include <random>

#include "heatherfork/detail/configuration/configuration_distributor.h"
#include "heatherfork/detail/configuration/leaving_marks.h"
#include "heatherfork/detail/context.h"
#include "heatherfork/detail/membership/membership.h"
#include "heatherfork/detail/requests/request_reducer.h"
#include "heatherfork/detail/scheduling/predictive_scheduler.h"
#include "heatherfork/detail/stopping/planned_stop.h"

namespace heatherfork {

using detail::Context;

struct Reducer::State
  : public detail::MembershipListener
  , public detail::ConfigurationListener
{
  State(NodeSettings aSettings,
        std::unique_ptr<detail::Scheduler> aScheduler,
        const Members& aMembers);

  void Dispatch(Context& aContext, const EventBody& aBody);
  void DispatchToSelf(Context& aContext);
  void OnMessage(Context& aContext,
                 const NodeId& aFrom,
                 const PeerMessage& aMessage);
  void OnGone(Context& aContext, const NodeId& aNode) override;
  void OnReplaced(Context& aContext) override;
  void OnAccepted(Context& aContext, ConfigurationPtr aAccepted) override;

  void On(Context& aContext, const CallerRequested& aEvent);
  void On(Context& aContext, const CallerGone& aEvent);
  void On(Context& aContext, const ServerReplied& aEvent);
  void On(Context& aContext, const TokensReceived& aEvent);
  void On(Context& aContext, const ReportReceived& aEvent);
  void On(Context& aContext, const PeerReceived& aEvent);
  void On(Context& aContext, const PeerLost& aEvent);
  void On(Context& aContext, const ConfigurationChecked& aEvent);
  void On(Context& aContext, const TimerFired& aEvent);
  void On(Context& aContext, const StopRequested& aEvent);
  void On(Context& aContext, const VmListRead& aEvent);
  void On(Context& aContext, const HeadRead& aEvent);
  void On(Context& aContext, const PartRead& aEvent);

  NodeSettings mSettings;
  ConfigurationPtr mPublished;     ///< As published by the operators.
  ConfigurationPtr mConfiguration; ///< `mPublished` with leaving marks.
  detail::LeavingMarks mMarks;
  std::mt19937_64 mRandom;
  std::deque<PeerMessage> mToSelf;
  std::unique_ptr<detail::Scheduler> mScheduler;
  detail::Membership mMembership;
  detail::ConfigurationDistributor mDistributor;
  detail::RequestReducer mRequests;
  detail::PlannedStop mStop;
};

Reducer::State::State(NodeSettings aSettings,
                      std::unique_ptr<detail::Scheduler> aScheduler,
                      const Members& aMembers)
  : mSettings(std::move(aSettings))
  , mRandom(mSettings.mSeed)
  , mScheduler(std::move(aScheduler))
  , mMembership(mSettings, *this, aMembers)
  , mDistributor(mSettings, *this)
{
}

void
Reducer::State::Dispatch(Context& aContext, const EventBody& aBody)
{
  std::visit([&](const auto& aEvent) { On(aContext, aEvent); }, aBody);
  DispatchToSelf(aContext);
}

void
Reducer::State::DispatchToSelf(Context& aContext)
{
  while (!mToSelf.empty()) {
    const PeerMessage message = std::move(mToSelf.front());
    mToSelf.pop_front();
    OnMessage(aContext, mSettings.mSelf, message);
  }
}

void
Reducer::State::OnMessage(Context& aContext,
                          const NodeId& aFrom,
                          const PeerMessage& aMessage)
{
  std::visit(
    [&](const auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (requires { mMembership.On(aContext, aFrom, aBody); }) {
        mMembership.On(aContext, aFrom, aBody);
      } else if constexpr (requires {
                             mDistributor.On(aContext, aFrom, aBody);
                           }) {
        mDistributor.On(aContext, aFrom, aBody);
      } else if constexpr (std::is_same_v<Body, PlaceRequest> ||
                           std::is_same_v<Body, PlacementProgress> ||
                           std::is_same_v<Body, PlacementEnded>) {
        mScheduler->On(aContext, aFrom, aBody);
      } else if constexpr (std::is_same_v<Body, PublishedRequest> ||
                           std::is_same_v<Body, PublishedReply> ||
                           std::is_same_v<Body, PlacementsKept> ||
                           std::is_same_v<Body, PublishedNews> ||
                           std::is_same_v<Body, ContentReport> ||
                           std::is_same_v<Body, LimitReport> ||
                           std::is_same_v<Body, LeavingReport> ||
                           std::is_same_v<Body, KeyProofRequest> ||
                           std::is_same_v<Body, KeyProofReply> ||
                           std::is_same_v<Body, QuotaRequest> ||
                           std::is_same_v<Body, QuotaGrant>) {
        // Handled by the relay only.
      } else {
        mRequests.On(aContext, aFrom, aBody);
      }
    },
    aMessage);
  if (const auto* probe = std::get_if<Probe>(&aMessage)) {
    mDistributor.OnRevision(aContext, aFrom, probe->mRevision);
  }
  if (const auto* ack = std::get_if<ProbeAck>(&aMessage)) {
    mDistributor.OnRevision(aContext, aFrom, ack->mRevision);
  }
}

void
Reducer::State::OnGone(Context& aContext, const NodeId& aNode)
{
  mRequests.OnNodeLost(aContext, aNode);
  mRequests.CancelAttemptsOfNode(aContext, aNode);
  mScheduler->OnNodeGone(aContext, aNode);
}

void
Reducer::State::OnReplaced(Context& aContext)
{
  // The records of this node are valid for its own incarnation only, so it
  // finishes its running requests and stops.
  aContext.Emit(LogDecision{ {}, 0, "replaced by another incarnation" });
  mStop.On(aContext, StopRequested{});
}

void
Reducer::State::On(Context& aContext, const CallerRequested& aEvent)
{
  mRequests.On(aContext, aEvent);
}

void
Reducer::State::On(Context& aContext, const CallerGone& aEvent)
{
  mRequests.On(aContext, aEvent);
}

void
Reducer::State::On(Context& aContext, const ServerReplied& aEvent)
{
  mRequests.On(aContext, aEvent);
}

void
Reducer::State::On(Context& aContext, const TokensReceived& aEvent)
{
  mRequests.On(aContext, aEvent);
}

void
Reducer::State::On(Context& aContext, const ReportReceived& aEvent)
{
  mScheduler->On(aContext, aEvent);
}

void
Reducer::State::On(Context& aContext, const PeerReceived& aEvent)
{
  OnMessage(aContext, aEvent.mFrom, aEvent.mMessage);
}

void
Reducer::State::On(Context& aContext, const PeerLost& aEvent)
{
  mMembership.On(aContext, aEvent);
  mRequests.OnNodeLost(aContext, aEvent.mPeer);
}

void
Reducer::State::On(Context& aContext, const ConfigurationChecked& aEvent)
{
  OnAccepted(aContext, aEvent.mConfiguration);
}

void
Reducer::State::OnAccepted(Context& aContext, ConfigurationPtr aAccepted)
{
  const bool isNewer =
    mPublished == nullptr || aAccepted->mRevision > mPublished->mRevision;
  if (isNewer) {
    mPublished = std::move(aAccepted);
    mConfiguration = mMarks.Apply(mPublished);
    mMembership.AnnounceServing(aContext);
  }
}

void
Reducer::State::On(Context& aContext, const TimerFired& aEvent)
{
  mMembership.On(aContext, aEvent);
  mMembership.RaiseEpoch(aContext, mRequests.Epoch());
  mRequests.SetEpoch(mMembership.Epoch());
  mDistributor.On(aContext, aEvent, mMembership.Neighbours());
  mScheduler->On(aContext, aEvent);
  mRequests.On(aContext, aEvent);
  mStop.On(aContext, aEvent, mRequests);
}

void
Reducer::State::On(Context& aContext, const StopRequested& aEvent)
{
  mMembership.On(aContext, aEvent);
  mStop.On(aContext, aEvent);
}

void
Reducer::State::On(Context& aContext, const VmListRead& aEvent)
{
  if (mMarks.On(aEvent)) {
    mConfiguration = mMarks.Apply(mPublished);
  }
  mMembership.On(aContext, aEvent);
}

void
Reducer::State::On(Context& aContext, const HeadRead& aEvent)
{
  mDistributor.On(aContext, aEvent);
}

void
Reducer::State::On(Context& aContext, const PartRead& aEvent)
{
  mDistributor.On(aContext, aEvent);
}

Reducer::Reducer(const NodeSettings& aSettings)
  : Reducer(aSettings,
            std::make_unique<detail::PredictiveScheduler>(),
            Members{})
{
}

Reducer::Reducer(NodeSettings aSettings,
                 std::unique_ptr<detail::Scheduler> aScheduler,
                 const Members& aMembers)
  : mState(std::make_unique<State>(std::move(aSettings),
                                   std::move(aScheduler),
                                   aMembers))
{
}

Reducer::~Reducer() = default;

Effects
Reducer::Reduce(const Event& aEvent)
{
  Effects effects;
  Context context{ mState->mSettings,      aEvent.mAt,
                   mState->mConfiguration, mState->mMembership.All(),
                   mState->mRandom,        effects,
                   mState->mToSelf };
  mState->Dispatch(context, aEvent.mBody);
  return effects;
}

const NodeSettings&
Reducer::Settings() const
{
  return mState->mSettings;
}

const Members&
Reducer::KnownMembers() const
{
  return mState->mMembership.All();
}

ConfigurationPtr
Reducer::CurrentConfiguration() const
{
  return mState->mConfiguration;
}

std::optional<RefusedRevision>
Reducer::RefusedConfiguration() const
{
  return mState->mDistributor.Refused();
}

} // namespace heatherfork
