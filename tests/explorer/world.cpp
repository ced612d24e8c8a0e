#include "world.h"

#include <algorithm>

#include "rules.h"

namespace heatherfork::explorer {

namespace {

constexpr Instant kStart{ Milliseconds(1000000000000) };
constexpr Duration kNodeLatency = Milliseconds(1);
constexpr Duration kCallerLatency = Milliseconds(3);
constexpr Duration kServerLatency = Milliseconds(1);
constexpr Duration kConnectionLossTime = Milliseconds(40);
/// A node that restarts has no configuration for so long.
constexpr Duration kConfigurationTime = Milliseconds(400);
constexpr Duration kRestartTime = Milliseconds(300);
/// All is settled by then: deadlines, late answers, repeated cancels.
constexpr Duration kRunTime = Milliseconds(140000);

WorkClass
ClassNamed(const char* aName, bool aMayWait, bool aMustNotRepeat)
{
  return WorkClass{ { aName }, aMayWait, aMustNotRepeat, Milliseconds(5000) };
}

BackendServer
Server(const char* aName, Role aRole)
{
  constexpr int kSlots = 8;
  constexpr int kPieces = 80;
  // The name is the address too, so that a transfer finds its engine.
  return BackendServer{
    { aName }, { aName }, { "zone" }, aRole, kSlots, kPieces
  };
}

ConfigurationPtr
MakeConfiguration()
{
  Configuration configuration;
  configuration.mRevision = 1;
  configuration.mClasses = { ClassNamed("reserve", false, true),
                             ClassNamed("lookup", false, false),
                             ClassNamed("chat", false, false),
                             ClassNamed("summary", true, false) };
  configuration.mModels = { Model{ { "model" }, { "1" }, {}, { "chat" } } };
  configuration.mCalls = { ServiceCall{ { "desk" }, "reserve", { "reserve" } },
                           ServiceCall{ { "desk" }, "lookup", { "lookup" } } };
  configuration.mPools = { Pool{ { "desk" },
                                 {},
                                 { "desk" },
                                 0,
                                 0,
                                 { Server("desk-1", Role::kPlain),
                                   Server("desk-2", Role::kPlain) } },
                           Pool{ { "model" },
                                 { "model" },
                                 {},
                                 1,
                                 1,
                                 { Server("prefill-1", Role::kPrefill),
                                   Server("prefill-2", Role::kPrefill),
                                   Server("decode-1", Role::kDecode),
                                   Server("decode-2", Role::kDecode) } } };
  configuration.mWorkspaces = { Workspace{ { "tenant" } } };
  return std::make_shared<const Configuration>(std::move(configuration));
}

constexpr std::uint64_t kLifeFactor = 1000003;

NodeId
FirstLifeOf(int aNode)
{
  return NodeId{ { "n" + std::to_string(aNode) },
                 kLifeFactor + static_cast<std::uint64_t>(aNode) };
}

Address
PeerAddressOf(int aNode)
{
  return Address{ "10.0.0." + std::to_string(aNode + 1) + ":7000" };
}

} // namespace

World::World(const Schedule& aSchedule, Recording aRecording)
  : mSchedule(aSchedule)
  , mRecording(aRecording)
  , mClock(kStart)
  , mServers(mClock)
  , mCallers(aSchedule.mWorks)
  , mNodes(kNodes)
{
}

RunResult
World::Run()
{
  Record(TraceHeader{});
  for (int n = 0; n < kNodes; ++n) {
    Start(n);
  }
  for (std::size_t n = 0; n < mSchedule.mWorks.size(); ++n) {
    for (const Sending& sending : mSchedule.mWorks[n].mSendings) {
      mClock.After(sending.mAt,
                   [=, this] { Send(static_cast<int>(n), sending); });
    }
  }
  for (const Fault& fault : mSchedule.mFaults) {
    mClock.After(fault.mAt, [=, this] { Begin(fault); });
  }
  mClock.RunUntil(kStart + kRunTime);
  Note(CheckAnswered(mCallers));
  Note(CheckMemory(mServers));
  return std::move(mResult);
}

void
World::Start(int aNode)
{
  Node& node = mNodes[aNode];
  node = Node{};
  NodeSettings& settings = node.mSettings;
  settings.mSelf = FirstLifeOf(aNode);
  const int restarts = std::max(0, mLives++ - kNodes + 1);
  settings.mSelf.mIncarnation +=
    kLifeFactor * static_cast<std::uint64_t>(restarts);
  settings.mZone = { "zone" };
  settings.mCallerAddress = { "10.0.0." + std::to_string(aNode + 1) + ":8000" };
  settings.mPeerAddress = PeerAddressOf(aNode);
  settings.mSeed = mSchedule.mSeed + mLives;
  settings.mPolicy.mTimerInterval = Milliseconds(50);
  settings.mPolicy.mLateAnswerWait = Milliseconds(10000);
  settings.mPolicy.mAnswerRetention = Milliseconds(20000);
  for (int n = 0; n < kNodes; ++n) {
    settings.mSeeds.push_back(PeerAddressOf(n));
  }
  node.mReducer = std::make_unique<Reducer>(settings);
  Record(NodeStarted{ settings });
  const NodeId life = settings.mSelf;
  mClock.After(restarts == 0 ? Duration(0) : kConfigurationTime, [=, this] {
    Deliver(aNode, life, ConfigurationChecked{ MakeConfiguration() });
  });
  Tick(aNode, life);
}

void
World::Kill(int aNode)
{
  Node& node = mNodes[aNode];
  const NodeId life = node.mSettings.mSelf;
  node.mReducer = nullptr;
  mCallers.OnNodeDown(life);
  for (int n = 0; n < kNodes; ++n) {
    if (n != aNode && mNodes[n].mReducer != nullptr) {
      const NodeId other = mNodes[n].mSettings.mSelf;
      mClock.After(kNodeLatency,
                   [=, this] { Deliver(n, other, PeerLost{ life }); });
    }
  }
}

void
World::Freeze(int aNode, Duration aFor)
{
  Node& node = mNodes[aNode];
  node.mIsFrozen = true;
  const NodeId life = node.mSettings.mSelf;
  mClock.After(aFor, [=, this] {
    if (IsUp(aNode, life)) {
      Wake(aNode);
    }
  });
}

// What was decided is executed first, then what came in is reduced.
void
World::Wake(int aNode)
{
  Node& node = mNodes[aNode];
  node.mIsFrozen = false;
  const Effects held = std::exchange(node.mHeld, {});
  std::deque<EventBody> inbox = std::exchange(node.mInbox, {});
  ExecuteAll(aNode, held);
  for (const EventBody& body : inbox) {
    Deliver(aNode, node.mSettings.mSelf, body);
  }
}

void
World::Tick(int aNode, const NodeId& aLife)
{
  if (!IsUp(aNode, aLife)) {
    return;
  }
  // A frozen process meets one late timer event when it wakes, not many.
  if (!mNodes[aNode].mIsFrozen) {
    Reduce(aNode, TimerFired{});
  }
  if (IsUp(aNode, aLife)) {
    mClock.After(mNodes[aNode].mSettings.mPolicy.mTimerInterval,
                 [=, this] { Tick(aNode, aLife); });
  }
}

void
World::Begin(const Fault& aFault)
{
  Node& node = mNodes[aFault.mNode];
  const bool up = node.mReducer != nullptr;
  switch (aFault.mKind) {
    case FaultKind::kKill:
      if (up) {
        Kill(aFault.mNode);
        mClock.After(kRestartTime, [=, this] {
          if (mNodes[aFault.mNode].mReducer == nullptr) {
            Start(aFault.mNode);
          }
        });
      }
      return;
    case FaultKind::kFreeze:
      if (up && !node.mIsFrozen) {
        Freeze(aFault.mNode, aFault.mFor);
      }
      return;
    case FaultKind::kFreezeInStep:
      node.mFreezesInStep = up;
      return;
    case FaultKind::kCut:
    case FaultKind::kDelay:
    case FaultKind::kDuplicate:
      mOn.push_back(aFault);
      mClock.After(aFault.mFor, [=, this] {
        mOn.erase(std::find(mOn.begin(), mOn.end(), aFault));
      });
      return;
    case FaultKind::kEngineRestart:
      mServers.RestartEngine(aFault.mOther);
      return;
    case FaultKind::kStop:
      if (up) {
        Deliver(aFault.mNode, node.mSettings.mSelf, StopRequested{});
      }
      return;
    case FaultKind::kBreakCalls:
    case FaultKind::kRefuseCalls:
    case FaultKind::kDelayReplies:
    case FaultKind::kRepeatReplies:
      SetServerFault(aFault, true);
      mClock.After(aFault.mFor, [=, this] { SetServerFault(aFault, false); });
      return;
  }
}

void
World::SetServerFault(const Fault& aFault, bool aIsOn)
{
  ServerFaults& faults = mServers.Faults();
  switch (aFault.mKind) {
    case FaultKind::kBreakCalls:
      faults.mBreak = aIsOn;
      return;
    case FaultKind::kRefuseCalls:
      mUnreachable += aIsOn ? 1 : -1;
      return;
    case FaultKind::kDelayReplies:
      faults.mReplyDelay = aIsOn ? aFault.mFor : Duration(0);
      return;
    default:
      faults.mRepeat = aIsOn;
      return;
  }
}

void
World::Send(int aWork, const Sending& aSending)
{
  if (!aSending.mKeepsEarlier) {
    for (const Exchange& closed : mCallers.CloseAllOf(aWork)) {
      mClock.After(kCallerLatency, [=, this] {
        Deliver(closed.mNode, closed.mNodeId, CallerGone{ closed.mCaller });
      });
    }
  }
  if (mNodes[aSending.mNode].mReducer == nullptr) {
    return; // The connection is refused.
  }
  const NodeId life = mNodes[aSending.mNode].mSettings.mSelf;
  const Request request = mCallers.RequestOf(aWork, life, mClock.Now());
  const Exchange& exchange = mCallers.Open(aWork, aSending.mNode, life);
  const CallerRequested requested{ exchange.mCaller, request };
  mClock.After(kCallerLatency,
               [=, this] { Deliver(aSending.mNode, life, requested); });
}

void
World::Deliver(int aNode, const NodeId& aLife, const EventBody& aBody)
{
  if (!IsUp(aNode, aLife)) {
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
World::Reduce(int aNode, const EventBody& aBody)
{
  Node& node = mNodes[aNode];
  ++mResult.mEvents;
  Record(EventRecorded{ node.mSettings.mSelf.mName, mClock.Now(), aBody });
  const Effects effects = node.mReducer->Reduce(Event{ mClock.Now(), aBody });
  const bool freezes = node.mFreezesInStep && !effects.empty();
  if (!freezes) {
    ExecuteAll(aNode, effects);
    return;
  }
  node.mFreezesInStep = false;
  node.mHeld = effects;
  for (const Fault& fault : mSchedule.mFaults) {
    if (fault.mKind == FaultKind::kFreezeInStep && fault.mNode == aNode) {
      Freeze(aNode, fault.mFor);
      return;
    }
  }
}

void
World::ExecuteAll(int aNode, const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    std::visit([&](const auto& aBody) { Execute(aNode, aBody); }, effect);
  }
}

void
World::Execute(int aNode, const AnswerCaller& aEffect)
{
  const Answer& answer = aEffect.mAnswer;
  const bool failed = !answer.mOk;
  ++mResult.mAnswers[failed ? InfoOf(answer.mError.mCode).mIdentifier : "ok"];
  Note(mCallers.Take(mNodes[aNode].mSettings.mSelf, aEffect));
  Note(CheckRuns(mCallers, mServers));
}

void
World::Execute(int aNode, const SendTokens& aEffect)
{
  Note(mCallers.Take(mNodes[aNode].mSettings.mSelf, aEffect));
}

void
World::Execute(int aNode, const CallServer& aEffect)
{
  const NodeId life = mNodes[aNode].mSettings.mSelf;
  const auto open = std::pair{ aEffect.mAttempt, ++mCalls };
  mNodes[aNode].mOpenCalls.insert(open);
  const CallSink sink = [=, this](const EventBody& aBody) {
    const bool isHeard =
      IsUp(aNode, life) && mNodes[aNode].mOpenCalls.contains(open);
    if (isHeard) {
      Deliver(aNode, life, aBody);
    }
  };
  if (mUnreachable > 0) {
    const ServerReplied lost{ aEffect.mAttempt,
                              aEffect.mServer,
                              aEffect.mCall,
                              ServerReply{ CallStatus::kNotSent } };
    mClock.After(kServerLatency, [=] { sink(lost); });
    return;
  }
  mClock.After(kServerLatency, [=, this] {
    mServers.Take(aEffect, sink);
    Note(CheckRuns(mCallers, mServers));
  });
  const ServerReplied late{ aEffect.mAttempt,
                            aEffect.mServer,
                            aEffect.mCall,
                            ServerReply{ CallStatus::kBroken } };
  // The shell ends every call at its deadline.
  const Duration left = std::max(Duration(0), aEffect.mDeadline - mClock.Now());
  mClock.After(left, [=, this] {
    if (IsUp(aNode, life) && mNodes[aNode].mOpenCalls.erase(open) > 0) {
      Deliver(aNode, life, late);
    }
  });
}

void
World::Execute(int aNode, const AbortCall& aEffect)
{
  std::erase_if(mNodes[aNode].mOpenCalls, [&](const auto& aOpen) {
    return aOpen.first == aEffect.mAttempt;
  });
}

void
World::Execute(int aNode, const SendToPeer& aEffect)
{
  const int to = NodeOf(aEffect);
  if (to == kNodes || to == aNode) {
    return;
  }
  Transmit(aNode, to, aEffect);
}

void
World::Execute(int aNode, const ExitProcess&)
{
  Kill(aNode);
}

void
World::Transmit(int aFrom, int aTo, const SendToPeer& aEffect)
{
  const NodeId from = mNodes[aFrom].mSettings.mSelf;
  const auto lost = [=, this] {
    Deliver(aFrom, from, PeerLost{ aEffect.mPeer });
  };
  if (IsOn(FaultKind::kCut, aFrom, aTo)) {
    mClock.After(kConnectionLossTime, lost);
    return;
  }
  const auto arrive = [=, this] {
    Node& node = mNodes[aTo];
    const bool isThere =
      node.mReducer != nullptr &&
      (aEffect.mPeer.mIncarnation == 0 ||
       aEffect.mPeer.mIncarnation == node.mSettings.mSelf.mIncarnation);
    if (isThere) {
      Deliver(
        aTo, node.mSettings.mSelf, PeerReceived{ from, aEffect.mMessage });
    } else {
      lost();
    }
  };
  constexpr Duration kLongDelay = Milliseconds(700);
  const bool isLate =
    IsOn(FaultKind::kDelay, aFrom, aTo) && ++mMessages % 2 == 0;
  mClock.After(isLate ? kLongDelay : kNodeLatency, arrive);
  if (IsOn(FaultKind::kDuplicate, aFrom, aTo)) {
    mClock.After(kLongDelay + kNodeLatency, arrive);
  }
}

bool
World::IsOn(FaultKind aKind, int aNode, int aOther) const
{
  return std::any_of(mOn.begin(), mOn.end(), [&](const Fault& aFault) {
    return aFault.mKind == aKind &&
           ((aFault.mNode == aNode && aFault.mOther == aOther) ||
            (aFault.mNode == aOther && aFault.mOther == aNode));
  });
}

// By the name, or by the address when the sender knows no more.
int
World::NodeOf(const SendToPeer& aEffect) const
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
World::IsUp(int aNode, const NodeId& aLife) const
{
  const Node& node = mNodes[aNode];
  return node.mReducer != nullptr && node.mSettings.mSelf == aLife;
}

void
World::Record(const TraceLine& aLine)
{
  if (mRecording == Recording::kOn) {
    mResult.mTrace.push_back(aLine);
  }
}

void
World::Note(const std::string& aBreach)
{
  if (mResult.mBreach.empty()) {
    mResult.mBreach = aBreach;
  }
}

} // namespace heatherfork::explorer
