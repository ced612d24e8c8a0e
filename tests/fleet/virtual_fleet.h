#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherfork/reducer.h"

/// Simulation of nodes with real reducers that exchange messages in virtual
/// time, for tests and benchmarks of membership and configuration.
namespace heatherfork::test {

/// Traffic of one node: bytes of peer frames as the real transport would send
/// them, messages and handled events.
struct NodeTraffic
{
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  std::uint64_t mMessagesSent = 0;
  std::uint64_t mEvents = 0;
};

/// Simulated configuration service.
struct VirtualService
{
  ConfigurationHead mHead;
  std::map<std::string, std::string> mParts; ///< By digest.
  std::set<std::size_t>
    mUnreachableFrom; ///< Nodes that can't reach the service.
  bool mIsDown = false;
  std::uint64_t mCalls = 0;
};

class VirtualFleet
{
public:
  explicit VirtualFleet(std::uint64_t aSeed, int aZoneCount = 3);

  /// Starts a node and returns its index. aAdjust may change its settings
  /// before the start.
  std::size_t Add(const std::function<void(NodeSettings&)>& aAdjust = {});
  void Kill(std::size_t aNode) { mNodes[aNode].mReducer.reset(); }

  /// Starts a new incarnation under the same name and address.
  void Restart(std::size_t aNode);
  void Freeze(std::size_t aNode) { mNodes[aNode].mIsFrozen = true; }
  void Resume(std::size_t aNode);

  /// Drops the messages from a node to another for which the function returns
  /// true. An empty function drops none.
  void SetMessageLoss(std::function<bool(std::size_t, std::size_t)> aIsDropped);

  /// Publishes a revision with the given contents of parts, by name.
  void Publish(Revision aRevision,
               const std::map<std::string, std::string>& aParts);

  /// Delivers an event to one node at the current time.
  void InjectEvent(std::size_t aNode, EventBody aBody);

  void RunFor(Duration aTime);

  /// Runs until the condition holds and returns the time that it took; nothing
  /// if it does not hold within aTimeout. Checks it at each interval.
  std::optional<Duration> RunUntil(const std::function<bool()>& aCondition,
                                   Duration aTimeout,
                                   Duration aCheckInterval = Milliseconds(10));

  /// Like RunUntil; returns whether the condition held within aTimeout.
  bool HoldsWithin(const std::function<bool()>& aCondition, Duration aTimeout);

  Instant Now() const { return mNow; }
  std::size_t Size() const { return mNodes.size(); }
  bool IsRunning(std::size_t aNode) const;
  const Reducer& At(std::size_t aNode) const { return *mNodes[aNode].mReducer; }
  const NodeId& IdOf(std::size_t aNode) const;
  const NodeTraffic& TrafficOf(std::size_t aNode) const;
  void ClearTraffic();
  VirtualService& Service() { return mService; }

  /// Returns the status of the current incarnation of aOther in the member list
  /// of aNode; nothing if it is not listed.
  std::optional<MemberStatus> StatusAt(std::size_t aNode,
                                       std::size_t aOther) const;

  /// True if every running node lists all running nodes as alive and all others
  /// as dead or not at all.
  bool IsMembershipConsistent() const;

  /// Returns the number of nodes on which this revision or a later one is in
  /// force.
  std::size_t CountInForce(Revision aRevision) const;

  /// Returns the effects of a node that this class does not execute.
  const Effects& OtherEffects(std::size_t aNode) const;

private:
  struct Node
  {
    NodeSettings mSettings;
    std::unique_ptr<Reducer> mReducer;
    bool mIsFrozen = false;
    std::vector<EventBody> mQueuedEvents; ///< Received while frozen.
    NodeTraffic mTraffic;
    Effects mOtherEffects;
  };

  void Schedule(Instant aWhen, std::function<void()> aStep);
  void Start(std::size_t aNode);
  void Tick(std::size_t aNode, Incarnation aIncarnation);
  void Deliver(std::size_t aNode, Incarnation aIncarnation, EventBody aBody);
  void Handle(std::size_t aNode, const Event& aEvent);
  void Execute(std::size_t aNode, const SendToPeer& aEffect);
  void Execute(std::size_t aNode, const ReadHead& aEffect);
  void Execute(std::size_t aNode, const ReadPart& aEffect);
  void AnswerHead(std::size_t aNode,
                  Incarnation aIncarnation,
                  ReadHead aEffect,
                  Instant aEnd);
  bool IsServiceReachable(std::size_t aNode) const;
  std::optional<std::size_t> FindTarget(const SendToPeer& aEffect) const;

  std::uint64_t mSeed;
  int mZoneCount;
  Instant mNow;
  std::multimap<Instant, std::function<void()>> mQueue;
  std::vector<Node> mNodes;
  std::map<NodeName, std::size_t> mByName;
  std::map<Address, std::size_t> mByAddress;
  std::function<bool(std::size_t, std::size_t)> mIsDropped;
  VirtualService mService;
};

} // namespace heatherfork::test
