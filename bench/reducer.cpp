#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "heatherfork/detail/scheduling/predictive_scheduler.h"
#include "heatherfork/reducer.h"

/// Costs of the reducer and of one scheduling decision, on one core.
namespace heatherfork::bench {

namespace {

/// Processor time of this thread: a busy machine doesn't change it.
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
constexpr int kOpenAtOnce = 100;
constexpr int kFirstTokenAfter = 2; ///< Requests later.
constexpr int kPromptTokens = 1500;
constexpr int kMaxTokens = 100;
constexpr Duration kDeadline = Milliseconds(10000);
constexpr Duration kBetweenRequests = Milliseconds(13);

std::string
Padded(const char* aPrefix, int aNumber)
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
  constexpr int kOneInPrefill = 3;
  for (int n = 0; n < aServers; ++n) {
    BackendServer server;
    server.mName = ServerName{ Padded("server-", n) };
    server.mAddress = Address{ Padded("10.0.0.1:", n) };
    server.mZone = ZoneName{ "zone" };
    server.mRole = n % kOneInPrefill == 0 ? Role::kPrefill : Role::kDecode;
    server.mSlots = kSlots;
    server.mPieces = kPieces;
    pool.mServers.push_back(server);
  }
  configuration->mPools = { pool };
  configuration->mWorkspaces = { Workspace{ WorkspaceName{ "tenant" } } };
  return configuration;
}

/// One node alone, with servers that answer each call at once.
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
      if (n >= kFirstTokenAfter) {
        GiveToken(n - kFirstTokenAfter);
      }
      if (n >= kOpenAtOnce) {
        Finish(n - kOpenAtOnce);
      }
      mNow += kBetweenRequests;
    }
    mElapsed = ProcessorMicros() - start;
  }

  double MicrosPerRequest() const { return mElapsed / kRequests; }
  double EventsPerSecond() const
  {
    constexpr double kMicrosPerSecond = 1e6;
    return mEvents * kMicrosPerSecond / mElapsed;
  }

  /// Of the event that brings a request in, which places it as well.
  double MicrosPerDecision() const { return mDeciding / kRequests; }

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
    request.mBody = Padded("prompt ", aNumber);
    const double start = ProcessorMicros();
    Effects effects =
      Reduce(CallerRequested{ static_cast<CallerId>(aNumber) + 1, request });
    mDeciding += ProcessorMicros() - start;
    mOpen.push_back(Follow(std::move(effects)));
  }

  // Answers the calls up to the decode call, which stays open.
  CallServer Follow(Effects aEffects)
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

  void GiveToken(int aNumber)
  {
    const CallServer& call = mOpen[static_cast<std::size_t>(aNumber)];
    Reduce(TokensReceived{ call.mAttempt, 0, 1, "x" });
  }

  void Finish(int aNumber)
  {
    const CallServer& call = mOpen[static_cast<std::size_t>(aNumber)];
    ServerReply reply{ CallStatus::kOk };
    reply.mTokens = 1;
    Reduce(ServerReplied{ call.mAttempt, call.mServer, call.mCall, reply });
  }

  Reducer mReducer;
  Instant mNow{ Milliseconds(1000000) };
  std::vector<CallServer> mOpen;
  double mElapsed = 0;
  double mDeciding = 0;
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
  constexpr int kFew = 20;
  constexpr int kMany = 200;
  constexpr int kMost = 2000;
  for (const int servers : { kFew, kMany, kMost }) {
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
