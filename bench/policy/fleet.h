#pragma once

#include <functional>
#include <memory>

#include "heatherfork/detail/scheduling/scheduler.h"
#include "heatherfork/reducer.h"

#include "fake_engines.h"
#include "scenario.h"

/// Simulates nodes, backend servers and callers in virtual time.
namespace heatherfork::bench {

/// Outcome of an offered request.
struct OfferResult
{
  Instant mFirstTokenAt{};
  Instant mAnsweredAt{};
  Answer mAnswer;
  int mSendCount = 0; ///< Number of times the request was sent.
  std::vector<AttemptId> mAttempts;
};

class Fleet;

/// A scheduling policy with its settings.
struct Policy
{
  std::string mName;
  SchedulingSettings mSettings;
  /// Each entry node schedules locally instead of asking a shard's scheduler.
  bool mIsLocal = false;
  std::function<std::unique_ptr<detail::Scheduler>(const Fleet&,
                                                   std::uint64_t aSeed)>
    mMakeScheduler;
};

class Fleet final : public OfferLookup
{
public:
  Fleet(const Scenario& aScenario, const Policy& aPolicy, std::uint64_t aSeed);

  void Run();

  const Offer* OfferOf(const AttemptId& aAttempt) const override;
  const std::vector<Offer>& Offers() const { return mOffers; }
  const std::vector<OfferResult>& Results() const { return mResults; }
  const EngineMetrics& Metrics() const { return mMetrics; }
  std::size_t AttemptCount() const { return mAttemptCount; }

  // Exact state, for OracleScheduler.
  const FakeServer& ServerAt(const ServerName& aName) const;
  const Links& GetLinks() const { return mLinks; }

  /// The shared prefix whose first block has this hash; 0 when there is none.
  int PrefixOf(std::uint64_t aFirstHash) const;

private:
  struct Node
  {
    NodeId mId;
    ZoneName mZone;
    std::unique_ptr<Reducer> mReducer;
    std::map<AttemptId, std::uint64_t> mOpenCalls;
  };

  void MakeConfiguration();
  void AddServers(Role aRole, int aCount, const char* aName, Pool& aPool);
  void MakeServers();
  void MakeNodes(const Policy& aPolicy);
  void MakePrefixes();
  void ScheduleFaults();
  void Schedule(const Fault& aFault);
  void ScheduleTimers();
  void ScheduleReports();
  void ScheduleOffers();

  bool AreAllAnswered() const;
  void Send(int aOffer);
  void CloseExchanges(int aOffer);
  void Deliver(Node& aNode, EventBody aBody);
  void Execute(Node& aNode, const AnswerCaller& aEffect);
  void Execute(Node& aNode, const SendTokens& aEffect);
  void Execute(Node& aNode, const CallServer& aEffect);
  void Execute(Node& aNode, const AbortCall& aEffect);
  void Execute(Node& aNode, const SendToPeer& aEffect);
  void Execute(Node&, const LogDecision&) {}
  void Execute(Node&, const ExitProcess&) {}
  // Nodes get the configuration at the start, so reads are not answered.
  void Execute(Node&, const ReadHead&) {}
  void Execute(Node&, const ReadPart&) {}
  CallHandlers MakeHandlers(Node& aNode,
                            FakeServer& aServer,
                            const CallServer& aCall,
                            std::uint64_t aNumber);
  Node& NodeAt(const NodeId& aId);

  Scenario mScenario;
  SchedulingSettings mSettings;
  std::uint64_t mSeed;
  std::mt19937_64 mRandom;
  EventQueue mQueue;
  Links mLinks;
  EngineMetrics mMetrics;
  ConfigurationPtr mConfiguration;
  std::map<ServerName, std::unique_ptr<FakeServer>> mServers;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::vector<Offer> mOffers;
  std::vector<OfferResult> mResults;
  std::map<AttemptId, int> mOfferOfAttempt;
  std::map<CallerId, int> mOfferOfCaller;
  std::map<std::uint64_t, int> mPrefixes; ///< By hash of the first block.
  std::map<int, std::vector<std::pair<Node*, CallerId>>> mOpenExchanges;
  CallerId mLastCaller = 0;
  std::uint64_t mLastCall = 0;
  std::size_t mAttemptCount = 0;
};

} // namespace heatherfork::bench
