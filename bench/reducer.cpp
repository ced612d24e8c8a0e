#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "heatherfork/detail/scheduling/predictive_scheduler.h"
#include "heatherfork/reducer.h"

/// Measures the cost of the reducer and of a scheduling decision on one core.
namespace heatherfork::bench {

namespace {

/// CPU time of this thread, which does not depend on the load of the machine.
double
ProcessorMicros()
{
  constexpr double kMicrosPerSecond = 1e6;
  constexpr double kNanosPerMicro = 1e3;
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * kMicrosPerSecond +
         static_cast<double>(now.tv_nsec) / kNanosPerMicro;
}

constexpr int kRequests = 20000;
constexpr int kSlots = 24;
constexpr int kPieces = 110;
constexpr int kConcurrentRequests = 100;
/// Later requests that start before the first token of a request arrives.
constexpr int kRequestsBeforeFirstToken = 2;
constexpr int kPromptTokens = 1500;
constexpr int kMaxTokens = 100;
constexpr Duration kDeadline = Milliseconds(10000);
constexpr Duration kRequestInterval = Milliseconds(13);

std::string
Numbered(const char* aPrefix, int aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

ConfigurationPtr
MakeConfiguration(int aServers)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->mRevision = 1;
  configuration->mClasses = {
    { ClassName{ "prompt" }, false, false, kDeadline, 1 }
  };
  Model model;
  model.mName = ModelName{ "model" };
  configuration->mModels = { model };
  Pool pool;
  pool.mName = PoolName{ "pool" };
  pool.mModel = model.mName;
  constexpr int kServersPerPrefill = 3;
  for (int n = 0; n < aServers; ++n) {
    BackendServer server;
    server.mName = ServerName{ Numbered("server-", n) };
    server.mAddress = Address{ Numbered("10.0.0.1:", n) };
    server.mZone = ZoneName{ "zone" };
    server.mRole = n % kServersPerPrefill == 0 ? Role::kPrefill : Role::kDecode;
    server.mSlots = kSlots;
    server.mPieces = kPieces;
    pool.mServers.push_back(server);
  }
  configuration->mPools = { pool };
  configuration->mWorkspaces = { Workspace{ WorkspaceName{ "tenant" } } };
  return configuration;
}

/// A single node whose backend servers answer each call immediately.
class Node
{
public:
  explicit Node(int aServers)
    : mReducer(MakeSettings())
  {
    Reduce(ConfigurationChecked{ MakeConfiguration(aServers) });
  }

  void Run()
  {
    const double start = ProcessorMicros();
    for (int n = 0; n < kRequests; ++n) {
      Start(n);
      if (n >= kRequestsBeforeFirstToken) {
        DeliverToken(n - kRequestsBeforeFirstToken);
      }
      if (n >= kConcurrentRequests) {
        Finish(n - kConcurrentRequests);
      }
      mNow += kRequestInterval;
    }
    mElapsedMicros = ProcessorMicros() - start;
  }

  double MicrosPerRequest() const { return mElapsedMicros / kRequests; }
  double EventsPerSecond() const
  {
    constexpr double kMicrosPerSecond = 1e6;
    return mEvents * kMicrosPerSecond / mElapsedMicros;
  }

  /// Mean time of the event that admits a request and places it.
  double MicrosPerDecision() const { return mDecisionMicros / kRequests; }

private:
  static NodeSettings MakeSettings()
  {
    NodeSettings settings;
    settings.mSelf = NodeId{ NodeName{ "node" }, 1 };
    settings.mZone = ZoneName{ "zone" };
    return settings;
  }

  Effects Reduce(EventBody aBody)
  {
    ++mEvents;
    return mReducer.Reduce(Event{ mNow, std::move(aBody) });
  }

  void Start(int aNumber)
  {
    Request request;
    request.mWorkspace = WorkspaceName{ "tenant" };
    request.mModel = ModelName{ "model" };
    request.mClass = ClassName{ "prompt" };
    request.mPromptTokens = kPromptTokens;
    request.mMaxTokens = kMaxTokens;
    request.mDeadline = mNow + kDeadline;
    request.mFingerprint = static_cast<std::uint64_t>(aNumber) + 1;
    request.mBody = Numbered("prompt ", aNumber);
    const double start = ProcessorMicros();
    Effects effects =
      Reduce(CallerRequested{ static_cast<CallerId>(aNumber) + 1, request });
    mDecisionMicros += ProcessorMicros() - start;
    mDecodeCalls.push_back(AnswerUntilDecode(std::move(effects)));
  }

  // Answers all calls before the decode call and returns the open decode call.
  CallServer AnswerUntilDecode(Effects aEffects)
  {
    CallServer call;
    bool isOpen = true;
    while (isOpen) {
      isOpen = false;
      for (Effect& effect : aEffects) {
        if (auto* next = std::get_if<CallServer>(&effect)) {
          call = std::move(*next);
          isOpen = !std::holds_alternative<DecodeCall>(call.mCall);
        }
      }
      if (isOpen) {
        const ServerReply reply{ CallStatus::kOk };
        aEffects = Reduce(
          ServerReplied{ call.mAttempt, call.mServer, call.mCall, reply });
      }
    }
    return call;
  }

  void DeliverToken(int aNumber)
  {
    const CallServer& call = mDecodeCalls[static_cast<std::size_t>(aNumber)];
    Reduce(TokensReceived{ call.mAttempt, 0, 1, "x" });
  }

  void Finish(int aNumber)
  {
    const CallServer& call = mDecodeCalls[static_cast<std::size_t>(aNumber)];
    ServerReply reply{ CallStatus::kOk };
    reply.mTokens = 1;
    Reduce(ServerReplied{ call.mAttempt, call.mServer, call.mCall, reply });
  }

  Reducer mReducer;
  Instant mNow{ Milliseconds(1000000) };
  std::vector<CallServer> mDecodeCalls;
  double mElapsedMicros = 0;
  double mDecisionMicros = 0;
  int mEvents = 0;
};

} // namespace

} // namespace heatherfork::bench

int
main()
{
  std::printf("%8s %16s %14s %14s\n",
              "servers",
              "events a second",
              "us a request",
              "us a decision");
  constexpr int kSmallFleet = 20;
  constexpr int kMediumFleet = 200;
  constexpr int kLargeFleet = 2000;
  for (const int servers : { kSmallFleet, kMediumFleet, kLargeFleet }) {
    heatherfork::bench::Node node(servers);
    node.Run();
    std::printf("%8d %16.0f %14.2f %14.2f\n",
                servers,
                node.EventsPerSecond(),
                node.MicrosPerRequest(),
                node.MicrosPerDecision());
  }
  return 0;
}
