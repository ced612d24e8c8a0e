#include "fleet.h"

#include <algorithm>
#include <cstdlib>

#include "heatherfork/detail/requests/prompt_prefixes.h"

#include "engine_model.h"

namespace heatherfork::bench {

namespace {

constexpr int kNodes = 8;
constexpr int kZones = 3;
constexpr Duration kCrossZoneLatency = Duration(500);
constexpr Duration kSameZoneLatency = Duration(100);
constexpr Duration kCallerLatency = Milliseconds(3);
constexpr Duration kMaxDrainTime = Milliseconds(60000);
constexpr Duration kResendInterval = Milliseconds(2000);
constexpr Duration kReportInterval = Milliseconds(1000);
constexpr int kMinReportLagMicros = 1000000;
constexpr int kMaxReportLagMicros = 2000000;
constexpr double kSlowFactor = 4;
constexpr double kSlowLinkFactor = 10;
constexpr int kSlowServers = 3;

ZoneName
ZoneAt(int aIndex)
{
  return ZoneName{ "zone-" + std::to_string(aIndex % kZones) };
}

Duration
LatencyBetween(const ZoneName& aFrom, const ZoneName& aTo)
{
  return aFrom == aTo ? kSameZoneLatency : kCrossZoneLatency;
}

// A reply event only needs the kind of call, so the prompt is not copied.
ServerCall
WithoutPrompt(const ServerCall& aCall)
{
  if (std::holds_alternative<PrefillCall>(aCall)) {
    return PrefillCall{};
  }
  return aCall;
}

} // namespace

Fleet::Fleet(const Scenario& aScenario,
             const Policy& aPolicy,
             std::uint64_t aSeed)
  : mScenario(aScenario)
  , mSettings(aPolicy.mSettings)
  , mSeed(aSeed)
  , mRandom(aSeed + 1)
{
  MakeConfiguration();
  MakeServers();
  MakePrefixes();
  MakeNodes(aPolicy);
  Workload workload(aSeed, CapacityOf(aScenario), aScenario.mPlainShare);
  mOffers = workload.Make(aScenario.mCurve);
  mResults.resize(mOffers.size());
}

void
Fleet::AddServers(Role aRole, int aCount, const char* aName, Pool& aPool)
{
  for (int n = 0; n < aCount; ++n) {
    BackendServer server;
    server.mName = ServerName{ aName + std::to_string(n) };
    server.mAddress = Address{ server.mName.mValue + ":80" };
    server.mZone = ZoneAt(n);
    server.mRole = aRole;
    server.mSlots = aRole == Role::kPrefill  ? kPrefillSlots
                    : aRole == Role::kDecode ? kDecodeSlots
                                             : kPlainSlots;
    server.mPieces = aRole == Role::kDecode ? kDecodePieces : 0;
    aPool.mServers.push_back(server);
  }
}

void
Fleet::MakeConfiguration()
{
  auto configuration = std::make_shared<Configuration>();
  configuration->mRevision = 1;
  constexpr int kHighPriority = 10;
  configuration->mClasses = {
    { ClassName{ "prompt" }, false, false, Milliseconds(10000), kHighPriority },
    { ClassName{ "summary" }, true, false, Milliseconds(60000), 0 },
    { ClassName{ "claim" }, false, true, Milliseconds(10000), kHighPriority },
    { ClassName{ "lookup" }, false, false, Milliseconds(10000), kHighPriority },
  };
  Model model;
  model.mName = ModelName{ "clerk" };
  model.mDefaultClass = ClassName{ "prompt" };
  configuration->mModels = { model };
  Pool enginePool;
  enginePool.mName = PoolName{ "engines" };
  enginePool.mModel = model.mName;
  AddServers(Role::kPrefill, mScenario.mPrefillServers, "prefill-", enginePool);
  AddServers(Role::kDecode, mScenario.mDecodeServers, "decode-", enginePool);
  Pool plainPool;
  plainPool.mName = PoolName{ "desk" };
  plainPool.mService = ServiceName{ "desk" };
  AddServers(Role::kPlain, mScenario.mPlainServers, "desk-", plainPool);
  configuration->mPools = { enginePool, plainPool };
  configuration->mCalls = {
    { ServiceName{ "desk" }, "reserve", ClassName{ "claim" } },
    { ServiceName{ "desk" }, "stock", ClassName{ "lookup" } },
  };
  for (int n = 0; n < kWorkspaces; ++n) {
    configuration->mWorkspaces.push_back(Workspace{ WorkspaceAt(n) });
  }
  mConfiguration = configuration;
}

void
Fleet::MakeServers()
{
  std::map<Address, FakeDecode*> decodeServers;
  std::vector<FakePrefill*> prefills;
  for (const Pool& pool : mConfiguration->mPools) {
    for (const BackendServer& server : pool.mServers) {
      if (server.mRole == Role::kPlain) {
        mServers[server.mName] = std::make_unique<FakePlain>(mQueue, server);
      } else if (server.mRole == Role::kDecode) {
        auto decode =
          std::make_unique<FakeDecode>(mQueue, server, *this, mMetrics);
        decodeServers[server.mAddress] = decode.get();
        mServers[server.mName] = std::move(decode);
      } else {
        auto prefill = std::make_unique<FakePrefill>(
          mQueue, server, *this, mMetrics, mLinks);
        prefills.push_back(prefill.get());
        mServers[server.mName] = std::move(prefill);
      }
    }
  }
  for (FakePrefill* prefill : prefills) {
    prefill->SetDecodeServers(decodeServers);
  }
}

void
Fleet::MakePrefixes()
{
  for (int prefix = 1; prefix <= kWorkspaces; ++prefix) {
    Request request;
    request.mModel = ModelName{ "clerk" };
    request.mBody = PrefixText(prefix, PrefixTokens(prefix));
    mPrefixes[detail::PrefixHashes(request).front()] = prefix;
  }
}

int
Fleet::PrefixOf(std::uint64_t aFirstHash) const
{
  const auto it = mPrefixes.find(aFirstHash);
  return it == mPrefixes.end() ? 0 : it->second;
}

void
Fleet::MakeNodes(const Policy& aPolicy)
{
  Members all;
  std::vector<NodeSettings> settings;
  for (int n = 0; n < kNodes; ++n) {
    NodeSettings nodeSettings;
    nodeSettings.mSelf =
      NodeId{ NodeName{ "node-" + std::to_string(n) }, mRandom() };
    nodeSettings.mZone = ZoneAt(n);
    nodeSettings.mSeed = mRandom();
    nodeSettings.mPolicy.mScheduling = mSettings;
    settings.push_back(nodeSettings);
    all.push_back(Member{ nodeSettings.mSelf, nodeSettings.mZone });
  }
  for (const NodeSettings& nodeSettings : settings) {
    auto node = std::make_unique<Node>();
    node->mId = nodeSettings.mSelf;
    node->mZone = nodeSettings.mZone;
    const Members self{ Member{ nodeSettings.mSelf, nodeSettings.mZone } };
    node->mReducer = std::make_unique<Reducer>(
      nodeSettings,
      aPolicy.mMakeScheduler(*this, nodeSettings.mSeed),
      aPolicy.mIsLocal ? self : all);
    mNodes.push_back(std::move(node));
  }
}

Fleet::Node&
Fleet::NodeAt(const NodeId& aId)
{
  for (const auto& node : mNodes) {
    if (node->mId == aId) {
      return *node;
    }
  }
  std::abort(); // Reducers only address nodes of this fleet.
}

const FakeServer&
Fleet::ServerAt(const ServerName& aName) const
{
  return *mServers.at(aName);
}

const Offer*
Fleet::OfferOf(const AttemptId& aAttempt) const
{
  const auto it = mOfferOfAttempt.find(aAttempt);
  return it == mOfferOfAttempt.end() ? nullptr : &mOffers[it->second];
}

void
Fleet::Run()
{
  for (const auto& node : mNodes) {
    Deliver(*node, ConfigurationChecked{ mConfiguration });
  }
  ScheduleTimers();
  ScheduleReports();
  ScheduleFaults();
  ScheduleOffers();
  const Instant end{ mScenario.mCurve.back().mAt };
  mQueue.RunUntil(end);
  while (!AreAllAnswered() && mQueue.Now() < end + kMaxDrainTime) {
    mQueue.RunUntil(mQueue.Now() + kReportInterval);
  }
}

bool
Fleet::AreAllAnswered() const
{
  return std::all_of(
    mResults.begin(), mResults.end(), [](const OfferResult& aResult) {
      return aResult.mAnsweredAt != Instant{};
    });
}

void
Fleet::ScheduleTimers()
{
  const Duration interval = PolicySettings{}.mTimerInterval;
  for (const auto& node : mNodes) {
    Deliver(*node, TimerFired{});
  }
  mQueue.After(interval, [this] { ScheduleTimers(); });
}

void
Fleet::ScheduleReports()
{
  std::uniform_int_distribution<int> lag(kMinReportLagMicros,
                                         kMaxReportLagMicros);
  for (const auto& [name, server] : mServers) {
    if (server->IsDown()) {
      continue;
    }
    const ReportReceived report{ name, server->Report() };
    mQueue.After(Duration(lag(mRandom)), [this, report] {
      for (const auto& node : mNodes) {
        Deliver(*node, report);
      }
    });
  }
  mQueue.After(kReportInterval, [this] { ScheduleReports(); });
}

void
Fleet::ScheduleFaults()
{
  for (const Fault& fault : mScenario.mFaults) {
    Schedule(fault);
  }
}

void
Fleet::Schedule(const Fault& aFault)
{
  const Instant from{ aFault.mFrom };
  const Instant until{ aFault.mUntil };
  std::vector<FakeServer*> servers;
  for (const auto& [name, server] : mServers) {
    const bool isPlain = server->Server().mRole == Role::kPlain;
    const bool isInZone = server->Server().mZone == ZoneAt(kZones - 1);
    const bool isAffected =
      aFault.mKind == FaultKind::kZoneDown ? isInZone : !isPlain;
    if (isAffected) {
      servers.push_back(server.get());
    }
  }
  switch (aFault.mKind) {
    case FaultKind::kSlowServers:
      std::shuffle(servers.begin(), servers.end(), mRandom);
      servers.resize(kSlowServers);
      for (FakeServer* server : servers) {
        mQueue.At(from, [server] { server->SetSlowness(kSlowFactor); });
        mQueue.At(until, [server] { server->SetSlowness(1); });
      }
      return;
    case FaultKind::kZoneDown:
      for (FakeServer* server : servers) {
        mQueue.At(from, [server] { server->SetDown(true); });
        mQueue.At(until, [server] { server->SetDown(false); });
      }
      return;
    case FaultKind::kSlowLink:
      mQueue.At(from, [this] {
        mLinks.SetSlowness(ZoneAt(0), ZoneAt(1), kSlowLinkFactor);
      });
      mQueue.At(until, [this] { mLinks.SetSlowness(ZoneAt(0), ZoneAt(1), 1); });
      return;
  }
}

void
Fleet::ScheduleOffers()
{
  for (std::size_t n = 0; n < mOffers.size(); ++n) {
    mQueue.At(mOffers[n].mAt, [this, n] { Send(static_cast<int>(n)); });
  }
}

void
Fleet::Send(int aOffer)
{
  const Offer& offer = mOffers[aOffer];
  OfferResult& result = mResults[aOffer];
  if (result.mAnsweredAt != Instant{}) {
    return;
  }
  ++result.mSendCount;
  Node& node = *mNodes[mRandom() % mNodes.size()];
  const CallerId caller = ++mLastCaller;
  mOfferOfCaller[caller] = aOffer;
  mOpenExchanges[aOffer].emplace_back(&node, caller);
  Request request = offer.mRequest;
  if (!request.mKey.Empty()) {
    request.mHome = node.mId;
  }
  mQueue.After(kCallerLatency, [this, &node, caller, request] {
    Deliver(node, CallerRequested{ caller, request });
  });
  const bool shouldResend = mScenario.mResendsRequests &&
                            request.mWorkspace == WorkspaceAt(0) &&
                            request.mKind == RequestKind::kCompletion;
  if (shouldResend && mQueue.Now() + kResendInterval < request.mDeadline) {
    mQueue.After(kResendInterval, [this, aOffer] { Send(aOffer); });
  }
}

// A caller that has its answer closes its exchanges for the same request.
void
Fleet::CloseExchanges(int aOffer)
{
  for (const auto& [node, caller] : mOpenExchanges[aOffer]) {
    mQueue.After(kCallerLatency, [this, node = node, caller = caller] {
      Deliver(*node, CallerGone{ caller });
    });
  }
  mOpenExchanges.erase(aOffer);
}

void
Fleet::Deliver(Node& aNode, EventBody aBody)
{
  const Effects effects =
    aNode.mReducer->Reduce(Event{ mQueue.Now(), std::move(aBody) });
  for (const Effect& effect : effects) {
    std::visit([&](const auto& aEffect) { Execute(aNode, aEffect); }, effect);
  }
}

void
Fleet::Execute(Node&, const AnswerCaller& aEffect)
{
  const int offer = mOfferOfCaller.at(aEffect.mCaller);
  mQueue.After(kCallerLatency, [this, offer, answer = aEffect.mAnswer] {
    OfferResult& result = mResults[offer];
    const bool isBetter = answer.mOk && !result.mAnswer.mOk;
    if (result.mAnsweredAt == Instant{} || isBetter) {
      result.mAnsweredAt = mQueue.Now();
      result.mAnswer = answer;
      CloseExchanges(offer);
    }
  });
}

void
Fleet::Execute(Node&, const SendTokens& aEffect)
{
  if (aEffect.mOffset != 0) {
    return;
  }
  const int offer = mOfferOfCaller.at(aEffect.mCaller);
  mQueue.After(kCallerLatency, [this, offer] {
    OfferResult& result = mResults[offer];
    if (result.mFirstTokenAt == Instant{}) {
      result.mFirstTokenAt = mQueue.Now();
    }
  });
}

void
Fleet::Execute(Node& aNode, const CallServer& aEffect)
{
  FakeServer& server = *mServers.at(aEffect.mServer);
  if (const auto* call = std::get_if<PrefillCall>(&aEffect.mCall)) {
    const int offer = NumberOf(call->mPrompt) - 1;
    mOfferOfAttempt[aEffect.mAttempt] = offer;
    mResults[offer].mAttempts.push_back(aEffect.mAttempt);
  }
  const bool isFirstCall = std::holds_alternative<ReserveCall>(aEffect.mCall) ||
                           std::holds_alternative<PlainCall>(aEffect.mCall);
  mAttemptCount += isFirstCall ? 1 : 0;
  const std::uint64_t number = ++mLastCall;
  if (!std::holds_alternative<CancelCall>(aEffect.mCall)) {
    aNode.mOpenCalls[aEffect.mAttempt] = number;
  }
  const Duration latency = LatencyBetween(aNode.mZone, server.Server().mZone);
  CallHandlers handlers = MakeHandlers(aNode, server, aEffect, number);
  mQueue.After(latency, [&server, effect = aEffect, handlers] {
    server.Call(effect, handlers);
  });
}

CallHandlers
Fleet::MakeHandlers(Node& aNode,
                    FakeServer& aServer,
                    const CallServer& aCall,
                    std::uint64_t aNumber)
{
  const Duration latency = LatencyBetween(aNode.mZone, aServer.Server().mZone);
  const bool isCancel = std::holds_alternative<CancelCall>(aCall.mCall);
  const AttemptId attempt = aCall.mAttempt;
  const auto isOpen = [&aNode, attempt, aNumber, isCancel] {
    const auto it = aNode.mOpenCalls.find(attempt);
    return isCancel || (it != aNode.mOpenCalls.end() && it->second == aNumber);
  };
  CallHandlers handlers;
  const ServerReplied replyTemplate{
    attempt, aCall.mServer, WithoutPrompt(aCall.mCall), ServerReply{}
  };
  handlers.mReply =
    [this, &aNode, latency, replyTemplate, isOpen](ServerReply aReply) {
      ServerReplied replied = replyTemplate;
      replied.mReply = std::move(aReply);
      mQueue.After(latency, [this, &aNode, replied, isOpen] {
        if (isOpen()) {
          Deliver(aNode, replied);
        }
      });
    };
  handlers.mTokens = [this, &aNode, latency, attempt, isOpen](int aOffset,
                                                              int aCount) {
    const TokensReceived tokens{ attempt, aOffset, aCount, "x" };
    mQueue.After(latency, [this, &aNode, tokens, isOpen] {
      if (isOpen()) {
        Deliver(aNode, tokens);
      }
    });
  };
  return handlers;
}

void
Fleet::Execute(Node& aNode, const AbortCall& aEffect)
{
  aNode.mOpenCalls.erase(aEffect.mAttempt);
}

void
Fleet::Execute(Node& aNode, const SendToPeer& aEffect)
{
  Node& peer = NodeAt(aEffect.mPeer);
  mQueue.After(LatencyBetween(aNode.mZone, peer.mZone),
               [this, from = aNode.mId, &peer, message = aEffect.mMessage] {
                 Deliver(peer, PeerReceived{ from, message });
               });
}

} // namespace heatherfork::bench
