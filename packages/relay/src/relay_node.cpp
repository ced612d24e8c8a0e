#include "heatherfork/relay_node.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include <unistd.h>

#include "heatherfork/detail/relay/caller_port.h"
#include "heatherfork/detail/relay/exchange.h"
#include "heatherfork/detail/relay/line_log.h"
#include "heatherfork/detail/relay/relay_metrics.h"
#include "heatherfork/detail/relay/store_watch.h"
#include "heatherfork/peer_transport.h"
#include "heatherfork/relay_reducer.h"

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

constexpr int kTooEarly = 503;

LogLevel
LevelOf(const std::string& aName)
{
  if (aName == "debug") {
    return LogLevel::kDebug;
  }
  return aName == "warning" || aName == "error" ? LogLevel::kWarning
                                                : LogLevel::kInfo;
}

// Notes of every request are many; what failed is kept to the last.
LogLevel
LevelOfEvent(const std::string& aEvent)
{
  const bool isFailure =
    aEvent == "refused" || aEvent == "broken" || aEvent == "scheduler-lost" ||
    aEvent == "scheduler-silent" || aEvent == "scheduler-unreachable";
  return isFailure ? LogLevel::kWarning : LogLevel::kInfo;
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

class RelayNode::State final
  : public RequestListener
  , public PeerListener
{
public:
  State(RelayNodeSettings aSettings, const RelayWire& aWire);
  ~State() override;

  absl::Status Start();
  void Stop();
  void RequestStop();
  void NoteReload();
  void WaitUntilStopped();

  void OnRequest(CallerConnection& aConnection,
                 const HttpHead& aHead,
                 std::string aBody) override;
  void OnBadRequest(CallerConnection& aConnection, int aStatus) override;
  void OnGone(CallerConnection& aConnection) override;

  void OnMessage(const NodeId& aFrom, PeerMessage aMessage) override;
  void OnLost(const NodeId& aPeer) override;

private:
  void Run();
  void OnTime(Instant aNow);
  void Post(RelayEventBody aBody) { mEvents.push_back(std::move(aBody)); }
  void ReduceAll();
  void Reduce(RelayEventBody aBody);
  Exchange* Find(CallerId aCaller);

  void On(const StartCall& aEffect);
  void On(const StopCall& aEffect);
  void On(const RefuseCaller& aEffect);
  void On(const PassAnswer& aEffect);
  void On(const BreakStream& aEffect);
  void On(const FreeKv& aEffect);
  void On(const RelayNote& aEffect);
  void On(const RelayMeasured& aEffect) { mMetrics.On(aEffect); }
  void On(const SendToPeer& aEffect);
  void On(const ExitProcess& aEffect);

  bool AnswerInfo(CallerConnection& aConnection, const HttpHead& aHead);
  std::string MetricsText();

  const RelayNodeSettings mSettings;
  const RelayWire& mWire;
  LineLog mLog;
  IoLoop mLoop;
  RelayReducer mReducer;
  ConnectionPool mPool;
  ExchangeContext mExchangeContext;
  CallerPort mCallers;
  std::vector<std::unique_ptr<CallerPort>> mInfo;
  RelayMetrics mMetrics;
  MetricsListener mMetricsListener;
  CallerPort mMetricsPort;
  PeerTransport mPeers;
  StoreWatch mStore;
  std::deque<RelayEventBody> mEvents;
  std::map<CallerId, std::unique_ptr<Exchange>> mExchanges;
  std::vector<std::unique_ptr<Exchange>> mEnded;
  std::vector<std::unique_ptr<ExchangeListener>> mFreeing;
  CallerId mLastCaller = 0;
  Instant mNextTimer{};
  Instant mLeavingSince{};
  bool mIsDone = false; ///< Of the loop's thread.

  std::thread mThread;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopped = false;
};

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
  if (!mSettings.mMetrics.Empty()) {
    status.Update(mMetricsPort.Start(mSettings.mMetrics));
  }
  if (!status.ok()) {
    return status;
  }
  status = mPeers.Start();
  if (!status.ok()) {
    return status;
  }
  mLog.Add(LogLevel::kWarning,
           "started",
           "",
           "callers=" + mSettings.mCallers.mValue + " store=" +
             mSettings.mStore.mValue + " zone=" + mSettings.mNode.mZone.mValue);
  mThread = std::thread([this] { Run(); });
  return absl::OkStatus();
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

Exchange*
RelayNode::State::Find(CallerId aCaller)
{
  const auto it = mExchanges.find(aCaller);
  return it == mExchanges.end() ? nullptr : it->second.get();
}

void
RelayNode::State::OnRequest(CallerConnection& aConnection,
                            const HttpHead& aHead,
                            std::string aBody)
{
  if (AnswerInfo(aConnection, aHead)) {
    return;
  }
  const auto read = mWire.ReadRequest(aHead, aBody);
  if (const auto* error = std::get_if<Error>(&read)) {
    mLog.Add(LogLevel::kWarning, "bad-request", "", error->mMessage);
    const int status = InfoOf(error->mCode).mHttpStatus;
    aConnection.Send(mWire.WriteError("", *error, status, {}, true));
    aConnection.Finish(false);
    return;
  }
  const RelayRequest& request = std::get<RelayRequest>(read);
  const CallerId caller = ++mLastCaller;
  mExchanges[caller] = std::make_unique<Exchange>(
    mExchangeContext, aConnection, aHead, std::move(aBody), request.mId);
  Post(RelayArrived{ caller, request });
}

void
RelayNode::State::OnBadRequest(CallerConnection& aConnection, int aStatus)
{
  const Error error{ ErrorCode::kBadHttp,
                     "what came is no request that this node takes" };
  mLog.Add(
    LogLevel::kWarning, "bad-request", "", "status=" + std::to_string(aStatus));
  aConnection.Send(mWire.WriteError("", error, aStatus, {}, true));
  aConnection.Finish(false);
}

void
RelayNode::State::OnGone(CallerConnection& aConnection)
{
  for (auto it = mExchanges.begin(); it != mExchanges.end(); ++it) {
    if (it->second->IsOf(aConnection)) {
      it->second->Stop();
      mEnded.push_back(std::move(it->second));
      Post(RelayCallerLeft{ it->first });
      mExchanges.erase(it);
      return;
    }
  }
}

bool
RelayNode::State::AnswerInfo(CallerConnection& aConnection,
                             const HttpHead& aHead)
{
  if (mWire.IsReadyCall(aHead)) {
    const bool isReady = mReducer.View().IsReady();
    aConnection.Send(isReady ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                             : "HTTP/1.1 503 Service Unavailable\r\n"
                               "Content-Length: 0\r\n\r\n");
    aConnection.Finish(true);
    return true;
  }
  const auto entries = mWire.ReadEntriesCall(aHead);
  if (!entries) {
    return false;
  }
  const auto addresses = mReducer.EntriesFor(ZoneName{ entries->mZone });
  if (addresses.empty()) {
    aConnection.Send(
      mWire.WriteError("",
                       { ErrorCode::kNoBackendServer, "no node serves yet" },
                       kTooEarly,
                       {},
                       false));
  } else {
    aConnection.Send(
      mWire.WriteEntries(addresses, mSettings.mRelay.mEntriesValidity));
  }
  aConnection.Finish(true);
  return true;
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
RelayNode::State::On(const StartCall& aEffect)
{
  if (Exchange* exchange = Find(aEffect.mCall.mCaller)) {
    exchange->Start(aEffect, SteadyNow());
  }
}

void
RelayNode::State::On(const StopCall& aEffect)
{
  if (Exchange* exchange = Find(aEffect.mCall.mCaller)) {
    exchange->Stop();
  }
}

void
RelayNode::State::On(const RefuseCaller& aEffect)
{
  const auto it = mExchanges.find(aEffect.mCaller);
  if (it == mExchanges.end()) {
    return;
  }
  // The answer may bring the connection's next request, so it goes first.
  const std::unique_ptr<Exchange> exchange = std::move(it->second);
  mExchanges.erase(it);
  exchange->Refuse(aEffect.mError,
                   InfoOf(aEffect.mError.mCode).mHttpStatus,
                   aEffect.mRetryAfter);
}

void
RelayNode::State::On(const PassAnswer& aEffect)
{
  const auto it = mExchanges.find(aEffect.mCall.mCaller);
  if (it == mExchanges.end()) {
    return;
  }
  const std::unique_ptr<Exchange> exchange = std::move(it->second);
  mExchanges.erase(it);
  exchange->Pass();
}

void
RelayNode::State::On(const BreakStream& aEffect)
{
  const auto it = mExchanges.find(aEffect.mCaller);
  if (it == mExchanges.end()) {
    return;
  }
  const std::unique_ptr<Exchange> exchange = std::move(it->second);
  mExchanges.erase(it);
  exchange->Break();
}

namespace {

// One small call whose answer is of no interest.
class Errand final : public ExchangeListener
{
public:
  Errand(ConnectionPool& aPool, const Address& aTo, std::string aRequest)
    : mPool(aPool)
    , mConnection(aPool.Take(aTo, false))
  {
    mConnection->Begin(std::move(aRequest), false, *this);
  }
  ~Errand() override
  {
    if (mConnection != nullptr) {
      mConnection->Abandon();
    }
  }

  bool OnHead(const HttpHead&) override { return true; }
  void OnBody(std::string_view) override {}
  void OnDone() override { mPool.Give(std::move(mConnection)); }
  void OnFailed(const std::string&, bool) override
  {
    mPool.Give(std::move(mConnection));
  }

private:
  ConnectionPool& mPool;
  ServerConnectionPtr mConnection;
};

// Errands whose end is waited for; older ones are dropped.
constexpr std::size_t kMostErrands = 64;

} // namespace

void
RelayNode::State::On(const FreeKv& aEffect)
{
  if (mFreeing.size() >= kMostErrands) {
    mFreeing.erase(mFreeing.begin());
  }
  mFreeing.push_back(std::make_unique<Errand>(
    mPool, aEffect.mHolder, mWire.WriteFreeKv(aEffect)));
}

void
RelayNode::State::On(const RelayNote& aEffect)
{
  mMetrics.On(aEffect);
  mLog.Add(LevelOfEvent(aEffect.mEvent),
           aEffect.mEvent,
           aEffect.mRequest,
           aEffect.mText);
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
