#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "backend_servers.h"
#include "callers.h"
#include "heatherfork/reducer.h"
#include "heatherfork/trace.h"
#include "schedule.h"
#include "virtual_clock.h"

/// Simulation of three nodes with their network, backend servers and callers.
namespace heatherfork::explorer {

/// Result of a run.
struct RunResult
{
  std::string mViolation; ///< First violated rule; empty if there is none.
  std::size_t mEvents = 0;
  /// Number of answers by error identifier, or "ok".
  std::map<std::string_view, int> mAnswers;
  std::vector<TraceLine> mTrace; ///< Header, nodes and events, if recorded.
};

enum class Recording
{
  kOff,
  kOn,
};

/// Runs one schedule once.
class Simulation
{
public:
  explicit Simulation(const Schedule& aSchedule,
                      Recording aRecording = Recording::kOff);
  RunResult Run();

private:
  struct Node
  {
    NodeSettings mSettings;
    std::unique_ptr<Reducer> mReducer; ///< Null while the node is down.
    bool mIsFrozen = false;
    bool mFreezesBeforeExecution = false;
    std::deque<EventBody> mInbox; ///< Events received while frozen.
    Effects mDeferredEffects;     ///< Decided but not executed yet.
    std::set<std::pair<AttemptId, std::uint64_t>> mOpenCalls;
  };

  void Start(int aNode);
  void Kill(int aNode);
  void Freeze(int aNode, Duration aFor);
  void Resume(int aNode);
  void Tick(int aNode, const NodeId& aId);
  void StartFault(const Fault& aFault);
  void SetServerFault(const Fault& aFault, bool aIsActive);
  void Send(int aRequestIndex, const Transmission& aTransmission);

  void Deliver(int aNode, const NodeId& aId, const EventBody& aBody);
  void Reduce(int aNode, const EventBody& aBody);
  void ExecuteAll(int aNode, const Effects& aEffects);
  void Execute(int aNode, const AnswerCaller& aEffect);
  void Execute(int aNode, const SendTokens& aEffect);
  void Execute(int aNode, const CallServer& aEffect);
  void Execute(int aNode, const AbortCall& aEffect);
  void Execute(int aNode, const SendToPeer& aEffect);
  void Execute(int aNode, const ExitProcess&) { Kill(aNode); }
  template<class Other>
  void Execute(int, const Other&)
  {
  }

  void Transmit(int aFrom, int aTo, const SendToPeer& aEffect);
  bool IsFaultActive(FaultKind aKind, int aNode, int aOther) const;
  int NodeOf(const SendToPeer& aEffect) const;
  bool IsUp(int aNode, const NodeId& aId) const;
  void Record(const TraceLine& aLine)
  {
    if (mRecording == Recording::kOn) {
      mResult.mTrace.push_back(aLine);
    }
  }
  void RecordViolation(const std::string& aViolation);

  Schedule mSchedule;
  Recording mRecording;
  VirtualClock mClock;
  BackendServers mServers;
  Callers mCallers;
  std::vector<Node> mNodes;
  std::vector<Fault> mActiveFaults; ///< Of messages between nodes.
  int mUnreachableFaults = 0;       ///< Number of active kRefuseCalls.
  std::uint64_t mCallCount = 0;
  /// Messages sent while kDelayMessages applied; every second one is late.
  std::uint64_t mDelayFaultMessageCount = 0;
  int mStartCount = 0;
  RunResult mResult;
};

} // namespace heatherfork::explorer
