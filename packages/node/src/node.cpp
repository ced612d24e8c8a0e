#include "heatherfork/node.h"

#include <condition_variable>
#include <fstream>
#include <mutex>

#include <Poco/Exception.h>
#include <spdlog/spdlog.h>

#include "heatherfork/detail/http/caller_mailbox.h"
#include "heatherfork/detail/http/caller_server.h"
#include "heatherfork/detail/http/connection_deadlines.h"
#include "heatherfork/detail/metrics/metrics.h"
#include "heatherfork/detail/platform/platform_client.h"
#include "heatherfork/detail/runtime/decision_log.h"
#include "heatherfork/detail/runtime/event_loop.h"
#include "heatherfork/detail/runtime/node_view.h"
#include "heatherfork/detail/servers/engine_protocol.h"
#include "heatherfork/detail/servers/server_client.h"
#include "heatherfork/peer_transport.h"
#include "heatherfork/trace.h"

namespace heatherfork {

using namespace detail;

namespace {

PeerTransportSettings
MakeTransportSettings(const Settings& aSettings)
{
  PeerTransportSettings settings;
  settings.mSelf = aSettings.mNode.mSelf;
  settings.mListenAddress = aSettings.mPeerListen;
  settings.mAdvertisedAddress = aSettings.mNode.mPeerAddress;
  settings.mKeys.push_back(aSettings.mPeerKey);
  if (!aSettings.mPreviousPeerKey.empty()) {
    settings.mKeys.push_back(aSettings.mPreviousPeerKey);
  }
  return settings;
}

} // namespace

class Node::State final
  : public EffectHandler
  , public PeerListener
{
public:
  explicit State(Settings aSettings);

  absl::Status Start();
  void Stop();
  void RequestStop() { mLoop.Post(StopRequested{}); }
  void WaitUntilStopped();

  void Handle(const Effect& aEffect) override;
  void Observe(const Event& aEvent, const Effects& aEffects) override;

  void OnMessage(const NodeId& aFrom, PeerMessage aMessage) override;
  void OnPeerLost(const NodeId& aPeer) override;
  void OnFault(const std::string& aReason) override;

private:
  void On(const AnswerCaller& aEffect);
  void On(const SendTokens& aEffect);
  void On(const CallServer& aEffect);
  void On(const AbortCall& aEffect);
  void On(const SendToPeer& aEffect);
  void On(const LogDecision& aEffect);
  void On(const ExitProcess& aEffect);
  void On(const ReadHead& aEffect);
  void On(const ReadPart& aEffect);
  void UpdateView();

  const Settings mSettings;
  NodeViewHolder mView;
  DecisionLog mDecisions;
  std::ofstream mTraceFile;
  std::unique_ptr<TraceWriter> mTrace;
  CallerRegistry mCallers;
  Metrics mMetrics;
  EventLoop mLoop;
  ServerClient mServers;
  PlatformClient mPlatform;
  PeerTransport mPeers;
  ConnectionDeadlines mDeadlines;
  CallerServer mCallerServer;
  bool mIsLeaving = false;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mIsStopped = false;
};

Node::State::State(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mLoop(mSettings.mNode, *this)
  , mServers(static_cast<std::size_t>(mSettings.mMaxServerThreads),
             [this](EventBody aBody) { mLoop.Post(std::move(aBody)); })
  , mPlatform(mSettings.mConfigurationService,
              mSettings.mVmList,
              [this](EventBody aBody) { mLoop.Post(std::move(aBody)); })
  , mPeers(MakeTransportSettings(mSettings), *this)
  , mCallerServer(HttpContext{ mSettings,
                               mLoop,
                               mView,
                               mCallers,
                               mMetrics,
                               mDecisions,
                               mDeadlines })
{
}

absl::Status
Node::State::Start()
{
  try {
    mCallerServer.Start();
  } catch (const Poco::Exception& ec) {
    return absl::UnavailableError("expected to listen on " +
                                  mSettings.mCallerListen.mValue + ": " +
                                  ec.displayText());
  }
  if (!mSettings.mTraceFile.empty()) {
    mTraceFile.open(mSettings.mTraceFile);
    mTrace = std::make_unique<TraceWriter>(mTraceFile, mSettings.mNode);
  }
  absl::Status status = mPeers.Start();
  if (!status.ok()) {
    return status;
  }
  mLoop.Start();
  mPlatform.Start();
  spdlog::info("node={} incarnation={:016x} listening={}",
               mSettings.mNode.mSelf.mName.mValue,
               mSettings.mNode.mSelf.mIncarnation,
               mSettings.mCallerListen.mValue);
  return absl::OkStatus();
}

void
Node::State::Stop()
{
  mPlatform.Stop();
  mCallerServer.Stop();
  mServers.AbortAll();
  mLoop.Stop();
  mPeers.Stop();
}

void
Node::State::WaitUntilStopped()
{
  std::unique_lock lock(mMutex);
  mWake.wait(lock, [this] { return mIsStopped; });
}

void
Node::State::Handle(const Effect& aEffect)
{
  std::visit([this](const auto& aBody) { On(aBody); }, aEffect);
}

void
Node::State::Observe(const Event& aEvent, const Effects& aEffects)
{
  if (mTrace != nullptr) {
    mTrace->Write(aEvent, aEffects);
  }
  if (std::holds_alternative<StopRequested>(aEvent.mBody)) {
    mIsLeaving = true;
  }
  const bool changesView =
    std::holds_alternative<TimerFired>(aEvent.mBody) ||
    std::holds_alternative<ConfigurationChecked>(aEvent.mBody) ||
    std::holds_alternative<StopRequested>(aEvent.mBody);
  if (changesView) {
    UpdateView();
  }
}

void
Node::State::UpdateView()
{
  // Called by Observe() on the event loop's thread, so the reducer may be read.
  const Reducer& reducer = mLoop.ReducerOnLoopThread();
  const NodeViewPtr old = mView.Get();
  NodeView view;
  view.mConfiguration = reducer.CurrentConfiguration();
  view.mMembers = reducer.KnownMembers();
  if (mIsLeaving) {
    view.mCondition = Condition::kLeaving;
  } else if (view.mConfiguration != nullptr) {
    view.mCondition = Condition::kServing;
  }
  if (view == *old) {
    return;
  }
  if (view.mConfiguration != old->mConfiguration) {
    mMetrics.SetRevision(view.mConfiguration->mRevision);
    spdlog::info("configuration revision={} in force",
                 view.mConfiguration->mRevision);
  }
  mView.Set(std::move(view));
}

void
Node::State::On(const AnswerCaller& aEffect)
{
  mCallers.Deliver(aEffect.mCaller, aEffect);
}

void
Node::State::On(const SendTokens& aEffect)
{
  if (!mCallers.Deliver(aEffect.mCaller, aEffect)) {
    mLoop.Post(CallerGone{ aEffect.mCaller });
  }
}

void
Node::State::On(const CallServer& aEffect)
{
  spdlog::debug("attempt={} server={} call={}",
                ToString(aEffect.mAttempt),
                aEffect.mServer.mValue,
                aEffect.mCall.index());
  mServers.Begin(aEffect);
}

void
Node::State::On(const AbortCall& aEffect)
{
  mServers.Abort(aEffect.mAttempt);
}

void
Node::State::On(const SendToPeer& aEffect)
{
  mPeers.Send(aEffect.mPeer, aEffect.mAddress, aEffect.mMessage);
}

void
Node::State::On(const LogDecision& aEffect)
{
  const std::string attempt = ToString(aEffect.mAttempt);
  spdlog::debug("attempt={} {}", attempt, aEffect.mText);
  if (aEffect.mCaller != 0) {
    mDecisions.Add(aEffect.mCaller, attempt + " " + aEffect.mText);
  }
}

// Each node reads the configuration service itself.
void
Node::State::On(const ReadHead& aEffect)
{
  mPlatform.Begin(aEffect);
}

void
Node::State::On(const ReadPart& aEffect)
{
  mPlatform.Begin(aEffect);
}

void
Node::State::OnMessage(const NodeId& aFrom, PeerMessage aMessage)
{
  mLoop.Post(PeerReceived{ aFrom, std::move(aMessage) });
}

void
Node::State::OnPeerLost(const NodeId& aPeer)
{
  mLoop.Post(PeerLost{ aPeer });
}

void
Node::State::OnFault(const std::string& aReason)
{
  spdlog::warn("event=peer-handler-failed reason=\"{}\"", aReason);
}

void
Node::State::On(const ExitProcess&)
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopped = true;
  }
  mWake.notify_all();
}

Node::Node(Settings aSettings)
  : mState(std::make_unique<State>(std::move(aSettings)))
{
}

Node::~Node()
{
  mState->Stop();
}

absl::Status
Node::Start()
{
  return mState->Start();
}

void
Node::RequestStop()
{
  mState->RequestStop();
}

void
Node::WaitUntilStopped()
{
  mState->WaitUntilStopped();
}

} // namespace heatherfork
