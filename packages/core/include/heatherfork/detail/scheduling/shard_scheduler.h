#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "heatherfork/detail/context.h"
#include "heatherfork/detail/scheduling/answer_plan.h"
#include "heatherfork/detail/scheduling/dispatch_pass.h"
#include "heatherfork/detail/scheduling/duration_estimate.h"
#include "heatherfork/detail/scheduling/isolation.h"
#include "heatherfork/detail/scheduling/placement.h"
#include "heatherfork/detail/scheduling/shard_map.h"
#include "heatherfork/detail/scheduling/suspect_runs.h"

/// Scheduler of one shard.
namespace heatherfork::detail {

inline const SchedulingSettings&
SettingsOf(const Context& aContext)
{
  return aContext.mSettings.mPolicy.mScheduling;
}

/// Role of the servers that answer a request.
inline Role
RoleFor(const PlaceRequest& aPlace)
{
  return aPlace.mKind == RequestKind::kPlainCall ? Role::kPlain : Role::kDecode;
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

  /// Predicted wait of a new request: as of the last review, or the time that
  /// the oldest one has waited.
  Duration PredictedDelay(Instant aNow) const;

private:
  // Times of requests vary more than those of round trips.
  static constexpr int kHoldTimeDivisor = 20;

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
    kMoved,
  };
  DispatchResult TryDispatch(Context& aContext,
                             DispatchPass& aPass,
                             const AttemptId& aAttempt);

  /// Plans who goes first, and refuses those that are given up.
  void Review(Context& aContext);
  /// The requests that wait for capacity, in the order of latest starts.
  std::vector<AttemptId> Waiting(Context& aContext);
  /// The part of the placements that each rank leaves to lower ones.
  std::map<int, double> RoomLeftByRank() const;
  std::vector<WaitingRequest> Describe(
    const std::vector<AttemptId>& aAttempts) const;
  void Apply(Context& aContext,
             const std::vector<AttemptId>& aAttempts,
             const AnswerPlan& aPlan);
  void RefuseHopeless(Context& aContext,
                      const AttemptId& aAttempt,
                      const PlannedRequest& aPlanned);
  DispatchPass MakePass(Context& aContext);
  CapacityForecast Forecast(Context& aContext, const DispatchPass& aPass);
  std::vector<Release> Releases(Instant aNow) const;
  RemainingWork RemainingWorkOf(const PlaceRequest& aPlace) const;
  Duration PredictedWork(const PlaceRequest& aPlace) const;
  Demand DemandOf(const QueuedRequest& aRequest) const;
  /// This node's part of each limit: all of it, unless it only stands in for a
  /// scheduler that it can't reach.
  double LimitShare(const Context& aContext);

  /// The servers of each role whose servers all have limits.
  std::vector<LimitedServers> LimitedRoles(const Context& aContext);

  /// Empty unless all servers of the role have limits.
  LimitedServers LimitedServersOf(const Context& aContext, Role aRole);
  void DispatchIsolated(Context& aContext);
  void Commit(Context& aContext,
              const AttemptId& aAttempt,
              const Choice& aChoice);
  void Refuse(Context& aContext,
              const NodeId& aTo,
              const AttemptId& aAttempt,
              ErrorCode aCode,
              std::string aMessage);
  void ReleasePlacement(Context& aContext, Placements::iterator aIt);
  void RecordWork(const Placement& aPlacement, Instant aNow);
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
  int mMostPieces = 0;     ///< Of one decode server; 0 if not published.
  bool mHasLimits = false; ///< A server has named one.
  double mLimitShare = 1;  ///< At mShareMembers.
  std::uint64_t mShareMembers = 0;
  DurationEstimate mHoldTime{ kHoldTimeDivisor }; ///< Of finished placements.
  DurationEstimate mWorkError;    ///< Observed less predicted work.
  CapacityForecast mForecast;     ///< Of the last review.
  Duration mPassedRoom{};         ///< Given to others since the last turn.
  std::optional<AttemptId> mTurn; ///< Long work whose turn it is.
  Duration mReviewedWait{};       ///< Of a request behind all others.
  Instant mOldestArrival{};       ///< Of the requests at the last review.
  Instant mLastExpiryAt{};
};

} // namespace heatherfork::detail
