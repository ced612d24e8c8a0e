#include "heatherfork/relay_node.h"

#include <unistd.h>

#include "heatherfork/detail/relay/relay_node_state.h"

namespace heatherfork {

using namespace relay;

namespace {

// Between two looks at limits of time while requests are open.
constexpr Duration kTick = Milliseconds(20);

// The same while none is; the store and the members still want it.
constexpr Duration kIdleTick = Milliseconds(50);

// A stop signal's callers: the listener closes when new requests are refused.
constexpr Duration kListensWhileLeaving = Milliseconds(3000);

// Also for the last words when the node stops, within its grace period.
constexpr Duration kPeerConnectTimeout = Milliseconds(500);

LogLevel
LevelOf(const std::string& aName)
{
  if (aName == "debug") {
    return LogLevel::kDebug;
  }
  return aName == "warning" || aName == "error" ? LogLevel::kWarning
                                                : LogLevel::kInfo;
}

PeerTransportSettings
TransportSettings(const RelayNodeSettings& aSettings)
{
  PeerTransportSettings settings;
  settings.mSelf = aSettings.mNode.mSelf;
  settings.mListen = aSettings.mPeerListen;
  settings.mAdvertise = aSettings.mNode.mPeerAddress;
  settings.mKeys.push_back(aSettings.mPeerKey);
  settings.mConnectTimeout = kPeerConnectTimeout;
  return settings;
}

} // namespace

RelayNode::State::State(RelayNodeSettings aSettings, const RelayWire& aWire)
  : mSettings(std::move(aSettings))
  , mWire(aWire)
  , mLog(STDOUT_FILENO,
         mSettings.mNode.mSelf.mName.mValue,
         LevelOf(mSettings.mLogLevel))
  , mReducer(mSettings.mNode, mSettings.mRelay)
  , mPool(mLoop)
  , mExchangeContext{ mWire,
                      mPool,
                      [this](RelayEventBody aBody) { Post(std::move(aBody)); } }
  , mCallers(mLoop, *this)
  , mMetricsListener([this] { return MetricsText(); })
  , mMetricsPort(mLoop, mMetricsListener)
  , mPeers(TransportSettings(mSettings), *this)
  , mStore(
      mSettings,
      mLoop,
      mWire,
      mLog,
      StoreWatch::Node{
        [this]() -> const Members& { return mReducer.KnownMembers(); },
        [this](const Member& aPeer, const PeerMessage& aMessage) {
          mPeers.Send(aPeer.mNode, aPeer.mPeerAddress, aMessage);
        },
        [this](RelayEventBody aBody) { Post(std::move(aBody)); },
        [this](const CallerLimits& aLimits) { mCallers.SetLimits(aLimits); } })
{
}

RelayNode::State::~State()
{
  Stop();
}

absl::Status
RelayNode::State::Start()
{
  absl::Status status = mCallers.Start(mSettings.mCallers);
  for (const Address& address : mSettings.mInfo) {
    mInfo.push_back(std::make_unique<CallerPort>(mLoop, *this));
    status.Update(mInfo.back()->Start(address));
  }
  if (!status.ok()) {
    return status;
  }
  status = mPeers.Start();
  if (!status.ok()) {
    return status;
  }
  StartMetrics();
  mLog.Add(LogLevel::kWarning,
           "started",
           "",
           "callers=" + mSettings.mCallers.mValue + " store=" +
             mSettings.mStore.mValue + " zone=" + mSettings.mNode.mZone.mValue);
  mThread = std::thread([this] { Run(); });
  return absl::OkStatus();
}

// A port in use costs what operators see, not what callers get.
void
RelayNode::State::StartMetrics()
{
  if (mSettings.mMetrics.Empty()) {
    return;
  }
  const absl::Status status = mMetricsPort.Start(mSettings.mMetrics);
  if (!status.ok()) {
    mLog.Add(LogLevel::kWarning,
             "metrics-unavailable",
             "",
             "address=" + mSettings.mMetrics.mValue + " reason=\"" +
               std::string(status.message()) + "\"");
  }
}

void
RelayNode::State::Stop()
{
  if (mThread.joinable()) {
    mLoop.Post([this] { mIsDone = true; });
    mThread.join();
  }
  mPeers.Stop();
}

void
RelayNode::State::RequestStop()
{
  mLoop.Post([this] {
    mLeavingSince = SteadyNow();
    mExchangeContext.mIsLeaving = true;
    Post(StopRequested{});
  });
}

void
RelayNode::State::NoteReload()
{
  mLoop.Post([this] { mLog.Add(LogLevel::kWarning, "reload", "", ""); });
}

void
RelayNode::State::WaitUntilStopped()
{
  std::unique_lock lock(mMutex);
  mWake.wait(lock, [this] { return mStopped; });
}

void
RelayNode::State::Run()
{
  while (!mIsDone) {
    const Duration tick = mExchanges.empty() ? kIdleTick : kTick;
    mLoop.Wait(std::clamp(mNextTimer - SteadyNow(), Duration{}, tick));
    ReduceAll();
    const Instant now = SteadyNow();
    if (now >= mNextTimer) {
      mNextTimer = now + tick;
      OnTime(now);
      ReduceAll();
    }
    mLog.Flush();
  }
}

void
RelayNode::State::OnTime(Instant aNow)
{
  mEnded.clear();
  mCallers.OnTime(aNow);
  for (const auto& port : mInfo) {
    port->OnTime(aNow);
  }
  mMetricsPort.OnTime(aNow);
  for (const auto& [caller, exchange] : mExchanges) {
    exchange->OnTime(aNow);
  }
  mStore.OnTime(aNow);
  mPool.Expire(aNow);
  if (mLeavingSince != Instant{} &&
      aNow - mLeavingSince >= kListensWhileLeaving) {
    mCallers.StopListening();
    mCallers.CloseIdle();
  }
  Post(TimerFired{});
}

void
RelayNode::State::ReduceAll()
{
  while (!mEvents.empty()) {
    RelayEventBody body = std::move(mEvents.front());
    mEvents.pop_front();
    Reduce(std::move(body));
  }
}

void
RelayNode::State::Reduce(RelayEventBody aBody)
{
  const RelayEffects effects =
    mReducer.Reduce(RelayEvent{ SteadyNow(), std::move(aBody) });
  for (const RelayEffect& effect : effects) {
    std::visit([this](const auto& aEffect) { On(aEffect); }, effect);
  }
}

void
RelayNode::State::OnMessage(const NodeId& aFrom, PeerMessage aMessage)
{
  mLoop.Post([this, aFrom, message = std::move(aMessage)]() mutable {
    if (!mStore.Take(aFrom, message)) {
      Post(PeerReceived{ aFrom, std::move(message) });
    }
  });
}

void
RelayNode::State::OnLost(const NodeId& aPeer)
{
  mLoop.Post([this, aPeer] { Post(PeerLost{ aPeer }); });
}

std::string
RelayNode::State::MetricsText()
{
  mMetrics.SetBeliefs(mReducer.View(), mReducer.KnownMembers());
  mMetrics.SetNewsAge("routing", mStore.RoutingReader().NewsAge());
  mMetrics.SetNewsAge("replicas", mStore.ReplicaReader().NewsAge());
  mMetrics.SetDroppedLines(mLog.Dropped());
  return mMetrics.Serialize();
}

void
RelayNode::State::On(const SendToPeer& aEffect)
{
  mPeers.Send(aEffect.mPeer, aEffect.mAddress, aEffect.mMessage);
}

void
RelayNode::State::On(const ExitProcess& /*aEffect*/)
{
  {
    const std::lock_guard lock(mMutex);
    mStopped = true;
  }
  mWake.notify_all();
}

RelayNode::RelayNode(RelayNodeSettings aSettings, const RelayWire& aWire)
  : mState(std::make_unique<State>(std::move(aSettings), aWire))
{
}

RelayNode::~RelayNode()
{
  mState->Stop();
}

absl::Status
RelayNode::Start()
{
  return mState->Start();
}

void
RelayNode::RequestStop()
{
  mState->RequestStop();
}

void
RelayNode::NoteReload()
{
  mState->NoteReload();
}

void
RelayNode::WaitUntilStopped()
{
  mState->WaitUntilStopped();
}

} // namespace heatherfork
