#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "heatherfork/detail/relay/body_intake.h"
#include "heatherfork/detail/relay/caller_port.h"
#include "heatherfork/detail/relay/exchange.h"
#include "heatherfork/detail/relay/line_log.h"
#include "heatherfork/detail/relay/relay_metrics.h"
#include "heatherfork/detail/relay/server_checks.h"
#include "heatherfork/detail/relay/store_watch.h"
#include "heatherfork/peer_transport.h"
#include "heatherfork/relay_node.h"
#include "heatherfork/relay_reducer.h"

/// Implementation of RelayNode.
namespace heatherfork {

/// Event loop of the node: feeds I/O events to the reducer and executes the
/// effects that it returns.
class RelayNode::State final
  : public relay::RequestListener
  , public PeerListener
{
public:
  State(RelayNodeSettings aSettings, const RelayWire& aWire);
  ~State() override;

  absl::Status Start();
  void Stop();
  void RequestStop();
  void LogReloadRequest();
  void WaitUntilStopped();

  void OnRequest(relay::CallerResponse aResponse,
                 const relay::HttpHead& aHead,
                 std::string aBody) override;
  bool NeedsBody(const relay::HttpHead& aHead) override;
  void OnUnreadRequest(relay::CallerResponse aResponse,
                       const relay::HttpHead& aHead) override;
  void OnBadRequest(relay::CallerResponse aResponse, int aStatus) override;
  void OnDisconnect(const relay::CallerConnection& aConnection) override;
  void OnReader(const relay::ReaderReport& aReport) override;

  void OnMessage(const NodeId& aFrom, PeerMessage aMessage) override;
  void OnPeerLost(const NodeId& aPeer) override;
  void OnFault(const std::string& aReason) override;

private:
  void Run();
  void OnTimer(Instant aNow);
  void Post(RelayEventBody aBody) { mEvents.push_back(std::move(aBody)); }
  void ReduceAll();
  void Reduce(RelayEventBody aBody);
  relay::Exchange* Find(CallerId aCaller);

  void On(const StartCall& aEffect);
  void On(const StopCall& aEffect);
  void On(const EndSilentCall& aEffect);
  void On(const RefuseCaller& aEffect);
  void On(const PassAnswer& aEffect);
  void On(const BreakStream& aEffect);
  void On(const FreeKv& aEffect);
  void On(const CheckServer& aEffect);
  void On(const RelayLogEntry& aEffect);
  void On(const RelayOutcomeMeasured& aEffect) { mRelayMetrics.On(aEffect); }
  void On(const SendToPeer& aEffect);
  void On(const ExitProcess& aEffect);

  std::optional<Error> FindHeadError(const relay::HttpHead& aHead);
  void RefuseHead(relay::CallerResponse aResponse,
                  const std::string& aRequestId,
                  const Error& aError);
  bool TryAnswerInfo(relay::CallerResponse& aResponse,
                     const relay::HttpHead& aHead);
  void StartMetrics();

  /// Lets the process exit once callers have received their answers.
  void ExitIfAnswersAreSent(Instant aNow);
  std::string MetricsText();

  const RelayNodeSettings mSettings;
  const RelayWire& mWire;
  relay::LineLog mLog;
  relay::IoLoop mLoop;
  RelayReducer mReducer;
  relay::ConnectionPool mPool;
  relay::ServerChecks mServerChecks;
  relay::ExchangeContext mExchangeContext;
  relay::BodyIntake mIntake;
  relay::CallerPort mCallerPort;
  std::vector<std::unique_ptr<relay::CallerPort>> mInfoPorts;
  relay::RelayMetrics mRelayMetrics;
  relay::MetricsListener mMetricsListener;
  relay::CallerPort mMetricsPort;
  PeerTransport mPeers;
  relay::StoreWatch mStoreWatch;
  std::deque<RelayEventBody> mEvents;
  std::map<CallerId, std::unique_ptr<relay::Exchange>> mExchanges;
  std::vector<std::unique_ptr<relay::Exchange>> mFinishedExchanges;
  std::vector<std::unique_ptr<relay::ExchangeListener>> mKvFreeCalls;
  CallerId mLastCallerId = 0;
  Instant mNextTimerAt{};
  Instant mLeavingSince{};
  bool mMayExit = false;    ///< The reducer has no more requests.
  bool mShouldExit = false; ///< Accessed by the loop's thread only.

  std::thread mThread;
  std::mutex mMutex;
  std::condition_variable mStoppedCondition;
  bool mIsStopped = false;
};

} // namespace heatherfork
