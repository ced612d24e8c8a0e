#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "heatherfork/detail/context.h"
#include "heatherfork/detail/relay/retry_share.h"
#include "heatherfork/detail/relay/route_table.h"
#include "heatherfork/detail/scheduling/shard_chooser.h"
#include "heatherfork/relay_effect.h"

/// The life of each opaque request at the node that took it.
namespace heatherfork::detail {

/// What the request's decisions see beside the shared context.
struct RelayContext
{
  Context& mShared;
  const RelaySettings& mSettings;
  const Replicas& mReplicas;
  std::size_t mNodes = 1; ///< Nodes that share the retry budget.
  RelayEffects& mEffects;

  Instant Now() const { return mShared.mNow; }

  template<class T>
  void Emit(T aEffect)
  {
    mEffects.emplace_back(std::move(aEffect));
  }
};

/// A request that has no last word yet.
struct OpenRequest
{
  enum class Phase : std::uint8_t
  {
    kPlacing,
    kPrefilling,
    kAnswering, ///< Sent for an answer, of which nothing is passed on.
    kStreaming, ///< Events have been passed on.
  };

  CallerId mCaller = 0;
  RelayRequest mRequest;
  Route mRoute;
  ServiceName mService;
  bool mIsEngine = false;
  Instant mArrivedAt{};
  Instant mDue{}; ///< Deadline or timeout, whichever is first.
  Phase mPhase = Phase::kPlacing;

  AttemptId mAttempt; ///< Of the placement.
  ShardId mShard;
  NodeId mScheduler;
  Instant mAskedAt{};
  bool mIsQueued = false;
  Placed mPlaced;
  std::vector<ServerName> mExcluded;

  int mCalls = 0;    ///< Calls made so far; numbers the newest.
  int mArrivals = 0; ///< Calls that count against the retry budget.
  int mRuns = 0;     ///< Calls that may have run the request.
  Instant mCallStartedAt{};
  Address mKvHolder;
  std::string mCacheId;
  std::string mLastEvent;
  bool mHasBegun = false; ///< The caller has had an event.
};

/// Takes each request from its arrival to its last word: place, prefill,
/// answer, and again elsewhere where that is allowed.
class RelayRequests
{
public:
  void Update(const RoutingPtr& aRouting) { mRoutes.Update(aRouting); }

  void On(RelayContext& aContext, const RelayArrived& aEvent);
  void On(RelayContext& aContext, const RelayCallerLeft& aEvent);
  void On(RelayContext& aContext, const RelayBegan& aEvent);
  void On(RelayContext& aContext, const RelayEnded& aEvent);
  void On(RelayContext& aContext, const Placed& aPlaced);
  void On(RelayContext& aContext, const PlacementQueued& aQueued);
  void On(RelayContext& aContext, const PlacementRefused& aRefused);
  void OnNodeLost(RelayContext& aContext, const NodeId& aNode);

  /// Messages to or from a node that may live on were lost.
  void OnLinkBroken(RelayContext& aContext, const NodeId& aNode);
  void OnTimer(RelayContext& aContext);

  /// The members or the shards have changed: running requests are told to the
  /// schedulers that are now responsible.
  void TellSchedulers(RelayContext& aContext);

  std::size_t Size() const { return mOpen.size(); }

  /// When the next request is due; nothing without open requests.
  std::optional<Instant> NextDue() const;

private:
  OpenRequest* Find(CallerId aCaller);
  OpenRequest* FindByAttempt(const AttemptId& aAttempt);
  OpenRequest* FindByCall(const RelayCallId& aCall);

  void Refuse(RelayContext& aContext,
              OpenRequest& aRequest,
              Error aError,
              Duration aRetryAfter);
  PlaceRequest MakePlace(RelayContext& aContext, const OpenRequest& aRequest);
  void Place(RelayContext& aContext, OpenRequest& aRequest, bool aHere);

  /// Asks this node's own scheduler in place of one that can't be told.
  void PlaceHere(RelayContext& aContext,
                 const std::vector<CallerId>& aCallers,
                 const char* aWhy);
  void EndPlacement(RelayContext& aContext,
                    OpenRequest& aRequest,
                    PlacementResult aResult,
                    const ServerName& aFailed,
                    int aTokens);
  void Progress(RelayContext& aContext,
                OpenRequest& aRequest,
                PlacementStep aStep);
  void Start(RelayContext& aContext,
             OpenRequest& aRequest,
             RelayStage aStage,
             const ServerName& aServer);
  void StartPlaced(RelayContext& aContext, OpenRequest& aRequest);
  void OnPrefilled(RelayContext& aContext,
                   OpenRequest& aRequest,
                   const RelayEnded& aEnded);
  void OnAnswered(RelayContext& aContext,
                  OpenRequest& aRequest,
                  const RelayEnded& aEnded);
  void OnNotRun(RelayContext& aContext,
                OpenRequest& aRequest,
                const RelayEnded& aEnded);
  void OnBroken(RelayContext& aContext,
                OpenRequest& aRequest,
                const RelayEnded& aEnded);
  bool MayRunAgain(const OpenRequest& aRequest) const;
  bool TakeRepeat(RelayContext& aContext, OpenRequest& aRequest);
  void OnDue(RelayContext& aContext, OpenRequest& aRequest);
  void TellHeld(RelayContext& aContext, const NodeId& aScheduler);
  /// Asks another scheduler, and tells the one asked before.
  void Move(RelayContext& aContext,
            const std::vector<CallerId>& aCallers,
            const char* aWhy,
            bool aHere);

  /// Ends a stream that has begun; aText says why.
  void Break(RelayContext& aContext, OpenRequest& aRequest, std::string aText);
  void DropKv(RelayContext& aContext, OpenRequest& aRequest);
  void Close(OpenRequest& aRequest);

  RouteTable mRoutes;
  ShardChooser mShards;
  RetryShare mBudget;
  std::map<CallerId, OpenRequest> mOpen;
  std::map<AttemptId, CallerId> mByAttempt;
  std::map<NodeId, Instant> mSchedulers; ///< When each was asked last.
  std::map<NodeId, Instant> mBrokenAt;   ///< When its link broke last.
  Instant mToldAt{};
  std::uint64_t mLastAttempt = 0;
};

} // namespace heatherfork::detail
