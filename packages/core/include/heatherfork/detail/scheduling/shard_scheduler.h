#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "heatherfork/detail/context.h"
#include "heatherfork/detail/scheduling/dispatch_pass.h"
#include "heatherfork/detail/scheduling/isolation.h"
#include "heatherfork/detail/scheduling/placement.h"
#include "heatherfork/detail/scheduling/retry_pacer.h"
#include "heatherfork/detail/scheduling/shard_map.h"
#include "heatherfork/detail/scheduling/suspect_runs.h"

/// Scheduler of one shard.
namespace heatherfork::detail {

inline const SchedulingSettings&
SettingsOf(const Context& aContext)
{
  return aContext.mSettings.mPolicy.mScheduling;
}

/// Manages the queue and placements of a shard, and updates its models from
/// their progress. Every attempt gets exactly one Placed or PlacementRefused,
/// unless it ends first.
class ShardScheduler
{
public:
  ShardScheduler() = default;
  ShardScheduler(const ShardScheduler&) = delete;
  ShardScheduler& operator=(const ShardScheduler&) = delete;

  /// Applies the servers, priorities and weights of a new configuration.
  void Configure(Context& aContext, const Shard& aShard);

  void Place(Context& aContext,
             const NodeId& aFrom,
             const PlaceRequest& aPlace);
  /// Adopts a placement made by the previous scheduler.
  void AdoptPlacement(Context& aContext,
                      const NodeId& aFrom,
                      const PlacementKept& aKept);

  /// Releases the placements of a node that are not among aHeld, the attempts
  /// that it reports as held.
  void ReleaseUnheld(Context& aContext,
                     const NodeId& aFrom,
                     const std::set<AttemptId>& aHeld);
  void RecordProgress(Context& aContext, const PlacementProgress& aProgress);
  void End(Context& aContext, const PlacementEnded& aEnded);
  void RecordReport(const ReportReceived& aReport);
  void SetLimit(Context& aContext,
                const ServerName& aServer,
                const std::optional<RequestRate>& aRate);

  /// Drops the limit of a server's former incarnation.
  void ForgetLimit(const ServerName& aServer);
  void Tick(Context& aContext);
  void OnNodeGone(Context& aContext, const NodeId& aNode);

  bool HasAttempt(const AttemptId& aAttempt) const;
  std::size_t Queued() const { return mQueue.Size(); }

  /// Predicted queueing delay of a new request.
  Duration PredictedDelay(Instant aNow) const;

private:
  using Placements = std::map<AttemptId, Placement>;

  ServerStatePtr StateOf(const ServerName& aName) const;
  bool HasServersFor(const PlaceRequest& aPlace) const;
  void Enqueue(Context& aContext,
               const NodeId& aFrom,
               const PlaceRequest& aPlace);
  void Dispatch(Context& aContext);
  enum class DispatchResult : std::uint8_t
  {
    kPlaced,
    kStaysQueued,
    kMovedOrRefused,
    kWaitsForSuspect,
    kNoCapacity,
  };
  DispatchResult TryDispatch(Context& aContext,
                             DispatchPass& aPass,
                             const WaitQueue::Key& aKey,
                             int aRequestsAhead);
  DispatchResult WaitForSuspect(Context& aContext,
                                const WaitQueue::Key& aKey,
                                const QueuedRequest& aRequest);
  /// The wait for servers that all have limits, and the time from one request
  /// to the next.
  struct LimitedWait
  {
    Duration mUntilNext{};
    Duration mInterval{};
    Duration For(int aRequestsAhead) const
    {
      return mUntilNext + aRequestsAhead * mInterval;
    }
  };
  /// This node's part of each limit: all of it, unless it only stands in for a
  /// scheduler that it can't reach.
  double LimitShare(const Context& aContext);

  /// Empty unless limits bind all servers of a role that the request needs.
  std::optional<LimitedWait> WaitForLimits(const Context& aContext,
                                           const PlaceRequest& aPlace);
  std::optional<LimitedWait> WaitForLimits(const Context& aContext,
                                           const PlaceRequest& aPlace,
                                           Role aRole);
  bool CanRefuseWithRetry(const WaitQueue::Key& aKey,
                          const QueuedRequest& aRequest) const;
  void RefuseWithRetry(Context& aContext,
                       const WaitQueue::Key& aKey,
                       const std::optional<LimitedWait>& aLimited);
  void RefuseOvertaken(Context& aContext);
  bool TryDemote(const WaitQueue::Key& aKey, const QueuedRequest& aRequest);
  void Promote(Instant aNow);
  void DispatchIsolated(Context& aContext);
  void Commit(Context& aContext,
              const WaitQueue::Key& aKey,
              const Choice& aChoice);
  void Refuse(Context& aContext,
              const NodeId& aTo,
              const AttemptId& aAttempt,
              ErrorCode aCode,
              std::string aMessage);
  void ReleasePlacement(Context& aContext, Placements::iterator aIt);
  void RecordRelease(Instant aNow);
  void RefuseUnservable(Context& aContext);
  void RemoveQueued(const AttemptId& aAttempt);
  void Expire(Context& aContext);
  int PiecesNeeded(const PlaceRequest& aPlace) const;
  bool IsTooLarge(const PlaceRequest& aPlace) const;

  ShardId mId;
  std::string mKey; ///< Of the shard, for rendezvous hashing.
  Limits mLimits;
  std::vector<ServerStatePtr> mServers;
  std::map<ClassName, int> mPriorities;
  std::map<WorkspaceName, int> mWeights;
  WaitQueue mQueue;
  Placements mPlacements;
  TimeModel mModel;
  PrefixHints mHints;
  Isolation mIsolation;
  SuspectRuns mSuspectRuns;
  int mMostPieces = 0; ///< Of one decode server; 0 if not published.
  RetryPacer mRetryPacer;
  bool mHasLimits = false; ///< A server has named one.
  double mLimitShare = 1;  ///< At mShareMembers.
  std::uint64_t mShareMembers = 0;
  std::uint64_t mInTimePlacements = 0;
  Instant mLastReleaseAt{};
  Duration mReleaseInterval = Milliseconds(50);
  Instant mLastExpiryAt{};
};

} // namespace heatherfork::detail
