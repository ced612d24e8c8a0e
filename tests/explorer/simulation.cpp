#include "simulation.h"

#include <algorithm>

#include "rules.h"

namespace heatherfork::explorer {

namespace {

constexpr Instant kStart{ Milliseconds(1000000000000) };
constexpr Duration kNodeLatency = Milliseconds(1);
constexpr Duration kCallerLatency = Milliseconds(3);
constexpr Duration kServerLatency = Milliseconds(1);
constexpr Duration kConnectionLossDelay = Milliseconds(40);
/// Time from the restart of a node to its first configuration.
constexpr Duration kConfigurationDelay = Milliseconds(400);
constexpr Duration kRestartDelay = Milliseconds(300);
/// Covers all deadlines, late answers and repeated cancel calls.
constexpr Duration kRunTime = Milliseconds(140000);

WorkClass
MakeClass(const char* aName, bool aMayWait, bool aMustNotRepeat)
{
  return WorkClass{ { aName }, aMayWait, aMustNotRepeat, Milliseconds(5000) };
}

BackendServer
MakeServer(const char* aName, Role aRole)
{
  constexpr int kSlots = 8;
  constexpr int kPieces = 80;
  // The address equals the name, so that a transfer finds its target engine.
  return BackendServer{
    { aName }, { aName }, { "zone" }, aRole, kSlots, kPieces
  };
}

ConfigurationPtr
MakeConfiguration()
{
  Configuration configuration;
  configuration.mRevision = 1;
  configuration.mClasses = { MakeClass("reserve", false, true),
                             MakeClass("lookup", false, false),
                             MakeClass("chat", false, false),
                             MakeClass("summary", true, false) };
  configuration.mModels = { Model{ { "model" }, { "1" }, {}, { "chat" } } };
  configuration.mCalls = { ServiceCall{ { "desk" }, "reserve", { "reserve" } },
                           ServiceCall{ { "desk" }, "lookup", { "lookup" } } };
  configuration.mPools = { Pool{ { "desk" },
                                 {},
                                 { "desk" },
                                 0,
                                 0,
                                 { MakeServer("desk-1", Role::kPlain),
                                   MakeServer("desk-2", Role::kPlain) } },
                           Pool{ { "model" },
                                 { "model" },
                                 {},
                                 1,
                                 1,
                                 { MakeServer("prefill-1", Role::kPrefill),
                                   MakeServer("prefill-2", Role::kPrefill),
                                   MakeServer("decode-1", Role::kDecode),
                                   MakeServer("decode-2", Role::kDecode) } } };
  configuration.mWorkspaces = { Workspace{ { "tenant" } } };
  return std::make_shared<const Configuration>(std::move(configuration));
}

constexpr std::uint64_t kIncarnationFactor = 1000003;

NodeId
FirstIncarnationOf(int aNode)
{
  return NodeId{ { "n" + std::to_string(aNode) },
                 kIncarnationFactor + static_cast<std::uint64_t>(aNode) };
}

Address
PeerAddressOf(int aNode)
{
  return Address{ "10.0.0." + std::to_string(aNode + 1) + ":7000" };
}

} // namespace

Simulation::Simulation(const Schedule& aSchedule, Recording aRecording)
  : mSchedule(aSchedule)
  , mRecording(aRecording)
  , mClock(kStart)
  , mServers(mClock)
  , mCallers(aSchedule.mPlannedRequests)
  , mNodes(kNodes)
{
}

RunResult
Simulation::Run()
{
  Record(TraceHeader{});
  for (int n = 0; n < kNodes; ++n) {
    Start(n);
  }
  for (std::size_t n = 0; n < mSchedule.mPlannedRequests.size(); ++n) {
    for (const Transmission& transmission :
         mSchedule.mPlannedRequests[n].mTransmissions) {
      mClock.After(transmission.mStartOffset,
                   [=, this] { Send(static_cast<int>(n), transmission); });
    }
  }
  for (const Fault& fault : mSchedule.mFaults) {
    mClock.After(fault.mStartOffset, [=, this] { StartFault(fault); });
  }
  mClock.RunUntil(kStart + kRunTime);
  RecordViolation(CheckAnswered(mCallers));
  RecordViolation(CheckMemory(mServers));
  return std::move(mResult);
}

void
Simulation::Start(int aNode)
{
  Node& node = mNodes[aNode];
  node = Node{};
  NodeSettings& settings = node.mSettings;
  settings.mSelf = FirstIncarnationOf(aNode);
  const int restarts = std::max(0, mStartCount++ - kNodes + 1);
  settings.mSelf.mIncarnation +=
    kIncarnationFactor * static_cast<std::uint64_t>(restarts);
  settings.mZone = { "zone" };
  settings.mCallerAddress = { "10.0.0." + std::to_string(aNode + 1) + ":8000" };
  settings.mPeerAddress = PeerAddressOf(aNode);
  settings.mSeed = mSchedule.mSeed + mStartCount;
  settings.mPolicy.mTimerInterval = Milliseconds(50);
  settings.mPolicy.mLateAnswerWait = Milliseconds(10000);
  settings.mPolicy.mAnswerRetention = Milliseconds(20000);
  for (int n = 0; n < kNodes; ++n) {
    settings.mSeeds.push_back(PeerAddressOf(n));
  }
  node.mReducer = std::make_unique<Reducer>(settings);
  Record(NodeStarted{ settings });
  const NodeId id = settings.mSelf;
  mClock.After(restarts == 0 ? Duration(0) : kConfigurationDelay, [=, this] {
    Deliver(aNode, id, ConfigurationChecked{ MakeConfiguration() });
  });
  Tick(aNode, id);
}

void
Simulation::Kill(int aNode)
{
  Node& node = mNodes[aNode];
  const NodeId id = node.mSettings.mSelf;
  node.mReducer = nullptr;
  mCallers.OnNodeDown(id);
  for (int n = 0; n < kNodes; ++n) {
    if (n != aNode && mNodes[n].mReducer != nullptr) {
      const NodeId other = mNodes[n].mSettings.mSelf;
      mClock.After(kNodeLatency,
                   [=, this] { Deliver(n, other, PeerLost{ id }); });
    }
  }
}

void
Simulation::Freeze(int aNode, Duration aFor)
{
  Node& node = mNodes[aNode];
  node.mIsFrozen = true;
  const NodeId id = node.mSettings.mSelf;
  mClock.After(aFor, [=, this] {
    if (IsUp(aNode, id)) {
      Resume(aNode);
    }
  });
}

// Executes the deferred effects first, then handles the queued events.
void
Simulation::Resume(int aNode)
{
  Node& node = mNodes[aNode];
  node.mIsFrozen = false;
  const Effects deferred = std::exchange(node.mDeferredEffects, {});
  std::deque<EventBody> inbox = std::exchange(node.mInbox, {});
  ExecuteAll(aNode, deferred);
  for (const EventBody& body : inbox) {
    Deliver(aNode, node.mSettings.mSelf, body);
  }
}

void
Simulation::Tick(int aNode, const NodeId& aId)
{
  if (!IsUp(aNode, aId)) {
    return;
  }
  // A frozen process handles one late timer event when it resumes, not all that
  // it missed.
  if (!mNodes[aNode].mIsFrozen) {
    Reduce(aNode, TimerFired{});
  }
  if (IsUp(aNode, aId)) {
    mClock.After(mNodes[aNode].mSettings.mPolicy.mTimerInterval,
                 [=, this] { Tick(aNode, aId); });
  }
}

void
Simulation::StartFault(const Fault& aFault)
{
  Node& node = mNodes[aFault.mNode];
  const bool isUp = node.mReducer != nullptr;
  switch (aFault.mKind) {
    case FaultKind::kKill:
      if (isUp) {
        Kill(aFault.mNode);
        mClock.After(kRestartDelay, [=, this] {
          if (mNodes[aFault.mNode].mReducer == nullptr) {
            Start(aFault.mNode);
          }
        });
      }
      return;
    case FaultKind::kFreeze:
      if (isUp && !node.mIsFrozen) {
        Freeze(aFault.mNode, aFault.mDuration);
      }
      return;
    case FaultKind::kFreezeBeforeExecution:
      node.mFreezesBeforeExecution = isUp;
      return;
    case FaultKind::kDropMessages:
    case FaultKind::kDelayMessages:
    case FaultKind::kDuplicateMessages:
      mActiveFaults.push_back(aFault);
      mClock.After(aFault.mDuration, [=, this] {
        mActiveFaults.erase(
          std::find(mActiveFaults.begin(), mActiveFaults.end(), aFault));
      });
      return;
    case FaultKind::kEngineRestart:
      mServers.RestartEngine(aFault.mTarget);
      return;
    case FaultKind::kStop:
      if (isUp) {
        Deliver(aFault.mNode, node.mSettings.mSelf, StopRequested{});
      }
      return;
    case FaultKind::kBreakCalls:
    case FaultKind::kRefuseCalls:
    case FaultKind::kDelayReplies:
    case FaultKind::kRepeatReplies:
      SetServerFault(aFault, true);
      mClock.After(aFault.mDuration,
                   [=, this] { SetServerFault(aFault, false); });
      return;
  }
}

void
Simulation::SetServerFault(const Fault& aFault, bool aIsActive)
{
  ServerFaults& faults = mServers.Faults();
  switch (aFault.mKind) {
    case FaultKind::kBreakCalls:
      faults.mBreaksCalls = aIsActive;
      return;
    case FaultKind::kRefuseCalls:
      mUnreachableFaults += aIsActive ? 1 : -1;
      return;
    case FaultKind::kDelayReplies:
      faults.mReplyDelay = aIsActive ? aFault.mDuration : Duration(0);
      return;
    default:
      faults.mRepeatsReplies = aIsActive;
      return;
  }
}

void
Simulation::Send(int aRequestIndex, const Transmission& aTransmission)
{
  if (!aTransmission.mKeepsPreviousOpen) {
    for (const Exchange& closed : mCallers.CloseAllOf(aRequestIndex)) {
      mClock.After(kCallerLatency, [=, this] {
        Deliver(closed.mNode, closed.mNodeId, CallerGone{ closed.mCaller });
      });
    }
  }
  if (mNodes[aTransmission.mNode].mReducer == nullptr) {
    return; // The node is down and refuses the connection.
  }
  const NodeId id = mNodes[aTransmission.mNode].mSettings.mSelf;
  const Request request = mCallers.RequestOf(aRequestIndex, id, mClock.Now());
  const Exchange& exchange =
    mCallers.Open(aRequestIndex, aTransmission.mNode, id);
  const CallerRequested requested{ exchange.mCaller, request };
  mClock.After(kCallerLatency,
               [=, this] { Deliver(aTransmission.mNode, id, requested); });
}

void
Simulation::Deliver(int aNode, const NodeId& aId, const EventBody& aBody)
{
  if (!IsUp(aNode, aId)) {
    return;
  }
  Node& node = mNodes[aNode];
  if (node.mIsFrozen) {
    node.mInbox.push_back(aBody);
    return;
  }
  Reduce(aNode, aBody);
}

void
Simulation::Reduce(int aNode, const EventBody& aBody)
{
  Node& node = mNodes[aNode];
  ++mResult.mEvents;
  Record(EventRecorded{ node.mSettings.mSelf.mName, mClock.Now(), aBody });
  const Effects effects = node.mReducer->Reduce(Event{ mClock.Now(), aBody });
  const bool shouldFreeze = node.mFreezesBeforeExecution && !effects.empty();
  if (!shouldFreeze) {
    ExecuteAll(aNode, effects);
    return;
  }
  node.mFreezesBeforeExecution = false;
  node.mDeferredEffects = effects;
  for (const Fault& fault : mSchedule.mFaults) {
    if (fault.mKind == FaultKind::kFreezeBeforeExecution &&
        fault.mNode == aNode) {
      Freeze(aNode, fault.mDuration);
      return;
    }
  }
}

void
Simulation::ExecuteAll(int aNode, const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    std::visit([&](const auto& aBody) { Execute(aNode, aBody); }, effect);
  }
}

void
Simulation::Execute(int aNode, const AnswerCaller& aEffect)
{
  const Answer& answer = aEffect.mAnswer;
  const bool failed = !answer.mOk;
  ++mResult.mAnswers[failed ? InfoOf(answer.mError.mCode).mIdentifier : "ok"];
  RecordViolation(mCallers.Receive(mNodes[aNode].mSettings.mSelf, aEffect));
  RecordViolation(CheckRuns(mCallers, mServers));
}

void
Simulation::Execute(int aNode, const SendTokens& aEffect)
{
  RecordViolation(mCallers.Receive(mNodes[aNode].mSettings.mSelf, aEffect));
}

void
Simulation::Execute(int aNode, const CallServer& aEffect)
{
  const NodeId id = mNodes[aNode].mSettings.mSelf;
  const auto open = std::pair{ aEffect.mAttempt, ++mCallCount };
  mNodes[aNode].mOpenCalls.insert(open);
  const EventSink sink = [=, this](const EventBody& aBody) {
    const bool isExpected =
      IsUp(aNode, id) && mNodes[aNode].mOpenCalls.contains(open);
    if (isExpected) {
      Deliver(aNode, id, aBody);
    }
  };
  if (mUnreachableFaults > 0) {
    const ServerReplied notSent{ aEffect.mAttempt,
                                 aEffect.mServer,
                                 aEffect.mCall,
                                 ServerReply{ CallStatus::kNotSent } };
    mClock.After(kServerLatency, [=] { sink(notSent); });
    return;
  }
  mClock.After(kServerLatency, [=, this] {
    mServers.Receive(aEffect, sink);
    RecordViolation(CheckRuns(mCallers, mServers));
  });
  const ServerReplied timedOut{ aEffect.mAttempt,
                                aEffect.mServer,
                                aEffect.mCall,
                                ServerReply{ CallStatus::kBroken } };
  // A real node ends every call at its deadline.
  const Duration timeLeft =
    std::max(Duration(0), aEffect.mDeadline - mClock.Now());
  mClock.After(timeLeft, [=, this] {
    if (IsUp(aNode, id) && mNodes[aNode].mOpenCalls.erase(open) > 0) {
      Deliver(aNode, id, timedOut);
    }
  });
}

void
Simulation::Execute(int aNode, const AbortCall& aEffect)
{
  std::erase_if(mNodes[aNode].mOpenCalls, [&](const auto& aOpen) {
    return aOpen.first == aEffect.mAttempt;
  });
}

void
Simulation::Execute(int aNode, const SendToPeer& aEffect)
{
  const int to = NodeOf(aEffect);
  if (to == kNodes || to == aNode) {
    return;
  }
  Transmit(aNode, to, aEffect);
}

void
Simulation::Transmit(int aFrom, int aTo, const SendToPeer& aEffect)
{
  const NodeId from = mNodes[aFrom].mSettings.mSelf;
  const auto reportLoss = [=, this] {
    Deliver(aFrom, from, PeerLost{ aEffect.mPeer });
  };
  if (IsFaultActive(FaultKind::kDropMessages, aFrom, aTo)) {
    mClock.After(kConnectionLossDelay, reportLoss);
    return;
  }
  const auto arrive = [=, this] {
    Node& node = mNodes[aTo];
    const bool isReachable =
      node.mReducer != nullptr &&
      (aEffect.mPeer.mIncarnation == 0 ||
       aEffect.mPeer.mIncarnation == node.mSettings.mSelf.mIncarnation);
    if (isReachable) {
      Deliver(
        aTo, node.mSettings.mSelf, PeerReceived{ from, aEffect.mMessage });
    } else {
      reportLoss();
    }
  };
  constexpr Duration kLongDelay = Milliseconds(700);
  const bool isLate = IsFaultActive(FaultKind::kDelayMessages, aFrom, aTo) &&
                      ++mDelayFaultMessageCount % 2 == 0;
  mClock.After(isLate ? kLongDelay : kNodeLatency, arrive);
  if (IsFaultActive(FaultKind::kDuplicateMessages, aFrom, aTo)) {
    mClock.After(kLongDelay + kNodeLatency, arrive);
  }
}

bool
Simulation::IsFaultActive(FaultKind aKind, int aNode, int aOther) const
{
  return std::any_of(
    mActiveFaults.begin(), mActiveFaults.end(), [&](const Fault& aFault) {
      return aFault.mKind == aKind &&
             ((aFault.mNode == aNode && aFault.mTarget == aOther) ||
              (aFault.mNode == aOther && aFault.mTarget == aNode));
    });
}

// Finds the target by name, or by address if the sender does not know its
// identity; kNodes if there is none.
int
Simulation::NodeOf(const SendToPeer& aEffect) const
{
  for (int n = 0; n < kNodes; ++n) {
    const NodeSettings& settings = mNodes[n].mSettings;
    const bool hasName = aEffect.mPeer.mName == settings.mSelf.mName;
    const bool hasAddress = aEffect.mAddress == settings.mPeerAddress;
    if (hasName || (aEffect.mPeer.mIncarnation == 0 && hasAddress)) {
      return n;
    }
  }
  return kNodes;
}

bool
Simulation::IsUp(int aNode, const NodeId& aId) const
{
  const Node& node = mNodes[aNode];
  return node.mReducer != nullptr && node.mSettings.mSelf == aId;
}

void
Simulation::RecordViolation(const std::string& aViolation)
{
  if (mResult.mViolation.empty()) {
    mResult.mViolation = aViolation;
  }
}

} // namespace heatherfork::explorer
