#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "heatherfork/detail/context.h"
#include "heatherfork/detail/scheduling/dispatch_pass.h"
#include "heatherfork/detail/scheduling/isolation.h"
#include "heatherfork/detail/scheduling/placement.h"
#include "heatherfork/detail/scheduling/return_book.h"
#include "heatherfork/detail/scheduling/shard_map.h"

/// Places the attempts of one shard.
namespace heatherfork::detail {

inline const SchedulingSettings&
SettingsOf(const Context& aContext)
{
  return aContext.mSettings.mPolicy.mScheduling;
}

/// Holds a shard's queue and placements, and learns from each step. Every
/// attempt gets one Placed or PlacementRefused, unless it ends before.
class ShardScheduler
{
public:
  ShardScheduler() = default;
  ShardScheduler(const ShardScheduler&) = delete;
  ShardScheduler& operator=(const ShardScheduler&) = delete;

  /// Takes over the servers and weights of a new configuration.
  void Bind(Context& aContext, const Shard& aShard);

  void Place(Context& aContext,
             const NodeId& aFrom,
             const PlaceRequest& aPlace);
  /// Takes over a placement of the scheduler before.
  void Keep(Context& aContext, const NodeId& aFrom, const PlacementKept& aKept);

  /// Frees what a node no longer holds; aHeld: all that it says it does.
  void DropUnheld(Context& aContext,
                  const NodeId& aFrom,
                  const std::set<AttemptId>& aHeld);
  void Note(Context& aContext, const PlacementProgress& aProgress);
  void End(Context& aContext, const PlacementEnded& aEnded);
  void Note(const ReportReceived& aReport);
  void Tick(Context& aContext);
  void OnNodeGone(Context& aContext, const NodeId& aNode);

  bool Knows(const AttemptId& aAttempt) const;
  std::size_t Queued() const { return mQueue.Size(); }

  /// Predicted wait of a request that comes now.
  Duration Delay(Instant aNow) const;

private:
  using Placements = std::map<AttemptId, Placement>;

  ServerStatePtr StateOf(const ServerName& aName) const;
  bool HasServersFor(const PlaceRequest& aPlace) const;
  void Enqueue(Context& aContext,
               const NodeId& aFrom,
               const PlaceRequest& aPlace);
  void Dispatch(Context& aContext);
  enum class Tried : std::uint8_t
  {
    kPlaced,
    kKept,
    kMoved,
    kNoRoom,
  };
  Tried Try(Context& aContext,
            DispatchPass& aPass,
            const WaitQueue::Key& aKey,
            int aAhead);
  bool MayBeSentBack(const WaitQueue::Key& aKey, const Waiting& aWaiting) const;
  void SendBack(Context& aContext, const WaitQueue::Key& aKey);
  bool IsDemoted(const WaitQueue::Key& aKey, const Waiting& aWaiting);
  void Promote(Instant aNow);
  void Isolate(Context& aContext);
  void Commit(Context& aContext,
              const WaitQueue::Key& aKey,
              const Choice& aChoice);
  void Refuse(Context& aContext,
              const NodeId& aTo,
              const AttemptId& aAttempt,
              ErrorCode aCode,
              std::string aMessage);
  void Free(Context& aContext, Placements::iterator aIt);
  void NoteRelease(Instant aNow);
  void RefuseStranded(Context& aContext);
  void Drop(const AttemptId& aAttempt);
  void Expire(Context& aContext);
  int Pieces(const PlaceRequest& aPlace) const;

  ShardId mId;
  Limits mLimits;
  std::vector<ServerStatePtr> mServers;
  std::map<ClassName, int> mPriorities;
  std::map<WorkspaceName, int> mWeights;
  WaitQueue mQueue;
  Placements mPlacements;
  TimeModel mModel;
  PrefixHints mHints;
  Isolation mIsolation;
  ReturnBook mReturns;
  Instant mReleasedAt{};
  Duration mReleaseInterval = Milliseconds(50);
  Instant mExpiredAt{};
};

} // namespace heatherfork::detail
