#include "heatherfork/relay_node.h"

#include <unistd.h>

#include "heatherfork/detail/relay/relay_node_state.h"

namespace heatherfork {

using namespace relay;

namespace {

// Interval between timeout checks while requests are open.
constexpr Duration kBusyTimerInterval = Milliseconds(20);

// Interval between timer events without open requests. Store reads and
// membership still need them.
constexpr Duration kIdleTimerInterval = Milliseconds(50);

// Also limits how long a planned stop takes to send the last messages to peers.
// It must fit into the grace period.
constexpr Duration kPeerConnectTimeout = Milliseconds(500);

LogLevel
ParseLogLevel(const std::string& aName)
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
  settings.mListenAddress = aSettings.mPeerListen;
  settings.mAdvertisedAddress = aSettings.mNode.mPeerAddress;
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
         ParseLogLevel(mSettings.mLogLevel))
  , mReducer(mSettings.mNode, mSettings.mRelay)
  , mPool(mLoop)
  , mServerChecks(mLoop,
                  [this](ServerChecked aEvent) { Post(std::move(aEvent)); })
  , mExchangeContext{ mWire,
                      mPool,
                      [this](RelayEventBody aBody) { Post(std::move(aBody)); },
                      mSettings.mMaxAnswerBytes,
                      AnswerBudget(
                        DivideMemory(mSettings.mMemoryBytes).mAnswers) }
  , mIntake(DivideMemory(mSettings.mMemoryBytes))
  , mCallerPort(mLoop, *this, mIntake)
  , mMetricsListener([this] { return MetricsText(); },
                     [this](const ReaderReport& aReport) { OnReader(aReport); })
  , mMetricsPort(mLoop, mMetricsListener, mIntake)
  , mPeers(TransportSettings(mSettings), *this)
  , mStoreWatch(
      mSettings,
      mLoop,
      mWire,
      mLog,
      StoreWatch::Hooks{
        [this]() -> const Members& { return mReducer.KnownMembers(); },
        [this](const Member& aPeer, const PeerMessage& aMessage) {
          mPeers.Send(aPeer.mNode, aPeer.mPeerAddress, aMessage);
        },
        [this](RelayEventBody aBody) { Post(std::move(aBody)); },
        [this](const CallerLimits& aLimits) {
          mCallerPort.SetLimits(aLimits);
        } })
{
}

RelayNode::State::~State()
{
  Stop();
}

absl::Status
RelayNode::State::Start()
{
  SetUpAllocator();
  const std::size_t descriptors = MaxLoopDescriptors(mSettings.mDescriptors);
  mPool.SetMaxDescriptors(descriptors);
  mCallerPort.SetMaxDescriptors(descriptors);
  mMetricsPort.SetMaxDescriptors(descriptors);
  mLoop.SetErrorHandler([this](const std::string& aReason) {
    mLog.Add(
      LogLevel::kWarning, "handler-failed", "", "reason=\"" + aReason + "\"");
  });
  mExchangeContext.mStreamBytesPerSecond = mSettings.mStreamBytesPerSecond;
  mExchangeContext.mLog = [this](const RelayLogEntry& aEntry) { On(aEntry); };
  mExchangeContext.mFreeAnswerRoom = [this] {
    return mCallerPort.CloseLongestPaused();
  };
  absl::Status status = mCallerPort.Start(mSettings.mCallerListen);
  for (const Address& address : mSettings.mInfoListen) {
    mInfoPorts.push_back(std::make_unique<CallerPort>(mLoop, *this, mIntake));
    mInfoPorts.back()->SetMaxDescriptors(descriptors);
    status.Update(mInfoPorts.back()->Start(address));
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
           "callers=" + mSettings.mCallerListen.mValue +
             " store=" + mSettings.mStoreAddress.mValue +
             " zone=" + mSettings.mNode.mZone.mValue);
  mThread = std::thread([this] { Run(); });
  return absl::OkStatus();
}

// The node runs without metrics if their port is in use.
void
RelayNode::State::StartMetrics()
{
  if (mSettings.mMetricsListen.Empty()) {
    return;
  }
  const absl::Status status = mMetricsPort.Start(mSettings.mMetricsListen);
  if (!status.ok()) {
    mLog.Add(LogLevel::kWarning,
             "metrics-unavailable",
             "",
             "address=" + mSettings.mMetricsListen.mValue + " reason=\"" +
               std::string(status.message()) + "\"");
  }
}

void
RelayNode::State::Stop()
{
  if (mThread.joinable()) {
    mLoop.Post([this] { mShouldExit = true; });
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
RelayNode::State::LogReloadRequest()
{
  mLoop.Post([this] { mLog.Add(LogLevel::kWarning, "reload", "", ""); });
}

void
RelayNode::State::WaitUntilStopped()
{
  std::unique_lock lock(mMutex);
  mStoppedCondition.wait(lock, [this] { return mIsStopped; });
}

void
RelayNode::State::Run()
{
  while (!mShouldExit) {
    const Duration interval =
      mExchanges.empty() ? kIdleTimerInterval : kBusyTimerInterval;
    mLoop.Wait(std::clamp(mNextTimerAt - SteadyNow(), Duration{}, interval));
    ReduceAll();
    const Instant now = SteadyNow();
    if (now >= mNextTimerAt) {
      mNextTimerAt = now + interval;
      OnTimer(now);
      ReduceAll();
    }
    mLog.Flush();
  }
}

void
RelayNode::State::OnTimer(Instant aNow)
{
  mFinishedExchanges.clear();
  mIntake.OnTimer(aNow);
  mCallerPort.OnTimer(aNow);
  for (const auto& port : mInfoPorts) {
    port->OnTimer(aNow);
  }
  mMetricsPort.OnTimer(aNow);
  for (const auto& [caller, exchange] : mExchanges) {
    exchange->OnTimer(aNow);
  }
  if (mSettings.mRelay.mMaxKeyDelay > Duration{}) {
    mStoreWatch.SetNeedsConfirmation(mReducer.View().mShouldAskStore);
  }
  mStoreWatch.OnTimer(aNow);
  mPool.Expire(aNow);
  mServerChecks.OnTimer(aNow);
  if (mLeavingSince != Instant{} &&
      aNow - mLeavingSince >= LeavingAcceptTime(mSettings.mRelay)) {
    mCallerPort.StopListening();
    mCallerPort.CloseIdle();
  }
  ExitIfAnswersAreSent(aNow);
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
    if (!mStoreWatch.HandleMessage(aFrom, message)) {
      Post(PeerReceived{ aFrom, std::move(message) });
    }
  });
}

void
RelayNode::State::OnPeerLost(const NodeId& aPeer)
{
  mLoop.Post([this, aPeer] { Post(PeerLost{ aPeer }); });
}

void
RelayNode::State::OnFault(const std::string& aReason)
{
  mLoop.Post([this, aReason] {
    mLog.Add(LogLevel::kWarning,
             "peer-handler-failed",
             "",
             "reason=\"" + aReason + "\"");
  });
}

std::string
RelayNode::State::MetricsText()
{
  mRelayMetrics.SetState(mReducer.View(), mReducer.KnownMembers());
  mRelayMetrics.SetQuotas(mReducer.View());
  mRelayMetrics.SetLimits(mReducer.View().mLimits);
  mRelayMetrics.SetUpdateAge("routing",
                             mStoreWatch.RoutingReader().UpdateAge());
  mRelayMetrics.SetUpdateAge("replicas",
                             mStoreWatch.ReplicaReader().UpdateAge());
  mRelayMetrics.SetKeyProofAge(mReducer.View().mKeyProofAge);
  mRelayMetrics.SetMemory("small_bodies", mIntake.SmallBytes());
  mRelayMetrics.SetMemory("large_bodies", mIntake.LargeBytes());
  mRelayMetrics.SetMemory("answers",
                          mExchangeContext.mAnswerBudget.TakenBytes());
  mRelayMetrics.SetWaitingBodies(mIntake.Waiting());
  mRelayMetrics.SetPausedReaders(mCallerPort.PausedReaders());
  mRelayMetrics.SetDroppedLines(mLog.Dropped());
  return mRelayMetrics.Serialize();
}

void
RelayNode::State::On(const SendToPeer& aEffect)
{
  mPeers.Send(aEffect.mPeer, aEffect.mAddress, aEffect.mMessage);
}

void
RelayNode::State::On(const ExitProcess& /*aEffect*/)
{
  mMayExit = true;
  ExitIfAnswersAreSent(SteadyNow());
}

void
RelayNode::State::ExitIfAnswersAreSent(Instant aNow)
{
  const bool isLate = aNow - mLeavingSince >= LatestExit(mSettings.mRelay);
  if (!mMayExit || (mCallerPort.IsBusy() && !isLate)) {
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    mIsStopped = true;
  }
  mStoppedCondition.notify_all();
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
RelayNode::LogReloadRequest()
{
  mState->LogReloadRequest();
}

void
RelayNode::WaitUntilStopped()
{
  mState->WaitUntilStopped();
}

} // namespace heatherfork
