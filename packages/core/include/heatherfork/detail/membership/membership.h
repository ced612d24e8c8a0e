#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "heatherfork/detail/context.h"
#include "heatherfork/detail/membership/member_table.h"
#include "heatherfork/detail/membership/prober.h"

/// Failure detection and membership by probes and gossip
/// (docs/design/membership.md).
namespace heatherfork::detail {

/// Receives membership events.
class MembershipListener
{
public:
  virtual ~MembershipListener() = default;

  /// The node was declared dead, or another incarnation took its name. A node
  /// declared dead can return with a higher epoch.
  virtual void OnGone(Context& aContext, const NodeId& aNode) = 0;

  /// Another incarnation took this node's name; this node must stop.
  virtual void OnReplaced(Context& aContext) = 0;
};

class Membership
{
public:
  /// aSettings and aListener must outlive this object. aKnown: initially known
  /// members, this node excluded.
  Membership(const NodeSettings& aSettings,
             MembershipListener& aListener,
             const Members& aKnown);

  void On(Context& aContext, const TimerFired& aEvent);
  void On(Context& aContext, const PeerLost& aEvent);
  void On(Context& aContext, const VmListRead& aEvent);
  void On(Context& aContext, const StopRequested& aEvent);
  void On(Context& aContext, const NodeId& aFrom, const Probe& aMessage);
  void On(Context& aContext, const NodeId& aFrom, const ProbeAck& aMessage);
  void On(Context& aContext, const NodeId& aFrom, const ProbeRelay& aMessage);
  void On(Context& aContext, const NodeId& aFrom, const ProbeRelayed& aMessage);
  void On(Context& aContext, const NodeId& aFrom, const SyncRequest& aMessage);
  void On(Context& aContext, const NodeId& aFrom, const SyncReply& aMessage);

  /// All known nodes ordered by name, including this node and dead ones.
  const Members& All() const { return mAll; }

  /// Rises whenever All() changes.
  std::uint64_t ViewNumber() const { return mViewNumber; }

  /// Nodes that this node probes in turn.
  const std::vector<NodeId>& Neighbours() const { return mNeighbours; }

  /// Publishes the caller address once this node has a configuration.
  void AnnounceServing(const Context& aContext);

  /// Raises this node's epoch to at least aEpoch. Called when an engine
  /// reports that other nodes declared this node dead and gossip about it has
  /// not arrived.
  void RaiseEpoch(const Context& aContext, std::uint32_t aEpoch);

  /// Epoch of this node; rises when it learns that it was declared dead.
  std::uint32_t Epoch() const { return Self().mEpoch; }

private:
  void EnsureStarted(const Context& aContext);
  const Member& Self() const;
  bool IsAlone() const { return mNeighbours.empty(); }
  void RefreshViews();

  void DetectPause(const Context& aContext);
  void RelayUnansweredProbes(Context& aContext);
  void SuspectUnreachable(Context& aContext);
  void DeclareTimedOutSuspectsDead(Context& aContext);
  void ProbeNextNeighbour(Context& aContext);
  void ProbeDisputed(Context& aContext);
  void ProbeRandomDead(Context& aContext);
  void ProbeSuccessors(Context& aContext);
  void ProbeSeed(Context& aContext);
  std::vector<Address> UnknownSeeds() const;

  Probe MakeProbe(const Context& aContext, const NodeId& aTarget);
  void SendProbe(Context& aContext, const NodeId& aTarget);
  void SendOwnRecord(Context& aContext,
                     const NodeId& aNode,
                     const Address& aTo);

  void ApplyGossip(Context& aContext, const Members& aMembers);
  void ApplyUpdate(Context& aContext, const Member& aMember);
  void ApplyUpdateToSelf(Context& aContext, const Member& aMember);
  void ResolveNameConflict(Context& aContext, const Member& aMember);
  bool RecordDispute(const Member& aUpdate);
  void MergeMember(Context& aContext, const Member& aMember);
  void PublishSelf(const Context& aContext, const Member& aMember);
  bool IsKnownAlive(const NodeId& aNode) const;
  void SyncIfDigestsDiffer(Context& aContext,
                           const NodeId& aFrom,
                           std::uint64_t aDigest,
                           bool aIsUrgent);
  int TransmitLimit() const;

  const NodeSettings& mSettings;
  const MembershipSettings& mMembershipSettings;
  MembershipListener& mListener;
  MemberTable mTable;
  Prober mProber;
  Members mAll;
  std::uint64_t mViewNumber = 0;
  std::vector<NodeId> mNeighbours;
  std::vector<Address>
    mListedSeeds; ///< Peer addresses from the platform's VM list.
  std::map<NodeName, Member>
    mDisputedDeaths;          ///< Deaths that another node contradicts.
  bool mAreViewsStale = true; ///< mAll and mNeighbours are older than mTable.
  bool mIsSyncing = false;    ///< Applying a SyncReply.
  bool mIsStarted = false;
  bool mIsReplaced = false;
  Instant mStartedAt{};
  Instant mLastTimer{};
  Instant mLastProbe{};
  Instant mLastDisputeProbe{};
  Instant mNextDeadProbe{};
  Instant mNextSuccessorProbe{};
  Instant mNextSeed{};
  Instant mNextSync{};
  Instant mMismatchSince{}; ///< Zero while digests match.
  std::size_t mProbeIndex = 0;
  std::size_t mSeedIndex = 0;
};

} // namespace heatherfork::detail
