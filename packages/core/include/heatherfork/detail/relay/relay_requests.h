#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "heatherfork/detail/relay/answer_times.h"
#include "heatherfork/detail/relay/content_guard.h"
#include "heatherfork/detail/relay/heard_limits.h"
#include "heatherfork/detail/relay/key_proof.h"
#include "heatherfork/detail/relay/route_table.h"
#include "heatherfork/detail/relay/server_backoffs.h"
#include "heatherfork/detail/relay/service_retry_budget.h"
#include "heatherfork/detail/relay/workspace_quotas.h"
#include "heatherfork/detail/relay/workspace_table.h"
#include "heatherfork/detail/scheduling/shard_chooser.h"
#include "heatherfork/relay_effect.h"
#include "heatherfork/relay_reducer.h"

/// Handles opaque requests on the node that received them.
namespace heatherfork::detail {

/// A scheduler's choice of replicas for a request, from the question on.
struct RelayPlacement
{
  AttemptId mAttempt;
  ShardId mShard;
  NodeId mScheduler;
  Instant mSentAt{}; ///< Of the question.
  bool mIsQueued = false;
  Placed mPlaced;
  bool mIsPaid = false; ///< The retry budget is already charged.
  /// Asked for as a suspect, see ContentGuard::SuspectIn.
  std::optional<ContentId> mSuspectIn;
};

/// A request that is neither completed nor refused yet.
struct OpenRequest
{
  enum class Phase : std::uint8_t
  {
    kAwaitingQuota, ///< For units of its workspace's quota.
    kPlacing,
    kPrefilling,
    kAnswering, ///< Sent for an answer; no event is forwarded yet.
    kStreaming, ///< Events have been forwarded.
  };

  CallerId mCaller = 0;
  RelayRequest mRequest;
  Route mRoute;
  ServiceName mService;
  bool mIsEngine = false;
  bool mHasWorkspaces = false; ///< As of the last check of its key.
  WorkspaceName mWorkspace;    ///< Empty for a request without a known key.
  Instant mSendBefore{};       ///< Of the newest call, see StartCall.
  int mRank = 0;               ///< Of its workspace or its route.
  QuotaTaken mQuotaTaken;      ///< Of its workspace.
  Instant mArrivedAt{};
  Instant mExpiresAt{};   ///< Deadline or timeout, whichever is first.
  Instant mLastEventAt{}; ///< Of the stream at the caller, or the arrival.
  Phase mPhase = Phase::kPlacing;

  RelayPlacement mPlacement;
  /// For another call, sought while the current one is silent.
  std::optional<RelayPlacement> mSuccessor;
  int mFailovers = 0; ///< Schedulers that could not be reached.
  std::vector<ServerName> mExcluded;

  int mCalls = 0;        ///< Calls made so far; number of the newest one.
  int mCountedCalls = 0; ///< Calls that count towards kMaxCountedCalls.
  int mPossibleRuns = 0; ///< Calls that may have run the request.
  Instant mCallStartedAt{};
  RelayStage mCallStage = RelayStage::kFullRequest; ///< Of the newest call.
  Address mKvHolder;
  std::string mCacheId;
  std::string mLastEvent;
  bool mHasSentEvents = false; ///< The caller has received an event.
  Replica mCalledReplica;      ///< Of the newest call.
};

/// Drives each request from its arrival to its completion: placement, prefill,
/// answer, and retries on other replicas where they are allowed.
class RelayRequests
{
public:
  void Update(const RoutingPtr& aRouting)
  {
    mRoutes.Update(aRouting);
    mWorkspaces.Update(aRouting);
    mKeyProof.Update(aRouting);
  }

  void On(RelayContext& aContext, const RelayRequestArrived& aEvent);
  void On(RelayContext& aContext, const RelayCallerDisconnected& aEvent);
  void On(RelayContext& aContext, const RelayStreamStarted& aEvent);
  void On(RelayContext& aContext, const RelayCallSilence& aEvent);
  void On(RelayContext& aContext, const RelayLimitSeen& aEvent);
  void On(RelayContext& aContext, const RelayBackoffSeen& aEvent);
  void On(RelayContext& aContext, const RelayCallEnded& aEvent);
  void On(RelayContext& aContext, const ServerChecked& aEvent);
  void On(RelayContext& aContext,
          const NodeId& aFrom,
          const ContentReport& aReport);
  void On(RelayContext& aContext, const RoutesConfirmed& aEvent)
  {
    mKeyProof.On(aContext, aEvent);
  }
  void On(RelayContext& aContext,
          const NodeId& aFrom,
          const KeyProofRequest& aRequest)
  {
    mKeyProof.On(aContext, aFrom, aRequest);
  }
  void On(RelayContext& aContext, const KeyProofReply& aReply)
  {
    mKeyProof.On(aContext, aReply);
  }
  void On(RelayContext& aContext,
          const NodeId& aFrom,
          const QuotaRequest& aRequest);
  void On(RelayContext& aContext,
          const NodeId& aFrom,
          const QuotaGrant& aGrant);
  void On(RelayContext& aContext, const Placed& aPlaced);
  void On(RelayContext& aContext, const PlacementQueued& aQueued);
  void On(RelayContext& aContext, const PlacementRefused& aRefused);
  void UpdateQuotas(RelayContext& aContext, const RoutingPtr& aRouting);
  void OnNodeGone(RelayContext& aContext, const NodeId& aNode);

  /// The connection to a node broke and messages are lost; the node may still
  /// be alive.
  void OnConnectionLost(RelayContext& aContext, const NodeId& aNode);
  void OnTimer(RelayContext& aContext);

  /// Tells the schedulers that requests must be answered before this node
  /// exits.
  void OnStopping(RelayContext& aContext);

  /// Ends all requests before the process exits.
  void EndAll(RelayContext& aContext);

  /// Reports open requests to the schedulers that are responsible for them
  /// after a change of members or shards.
  void UpdateSchedulers(RelayContext& aContext);

  /// Drops what is known of replicas that are gone or have started again.
  void OnReplicas(RelayContext& aContext);
  void OnNodesJoined(RelayContext& aContext, const std::vector<NodeId>& aNodes)
  {
    mContentGuard.OnJoined(aContext, aNodes);
  }

  /// The replica of a request's newest call; null for other calls.
  const Replica* CalledReplica(const RelayCallId& aCall);

  std::size_t Size() const { return mOpen.size(); }

  /// Sets the fields that are about requests.
  void Describe(RelayView& aView,
                const RelaySettings& aSettings,
                Instant aNow) const;

  /// Why the request is refused whatever its body is, if so.
  std::optional<Error> HeadError(const RelaySettings& aSettings,
                                 Instant aNow,
                                 const RelayRequest& aRequest) const;

  /// Refuses what waits for a replica with a key that no workspace holds any
  /// more.
  void RefuseWithdrawnKeys(RelayContext& aContext);

  /// Earliest expiry of the open requests; empty when there are none. Linear.
  std::optional<Instant> NextExpiry() const;

private:
  OpenRequest* Find(CallerId aCaller);
  OpenRequest* FindByAttempt(const AttemptId& aAttempt);
  OpenRequest* FindByCall(const RelayCallId& aCall);

  /// Finds the workspace of the request. Returns false if it was refused.
  bool AdmitKey(RelayContext& aContext, OpenRequest& aRequest);

  /// Checks the key again before a call, and sets until when the call may be
  /// sent. Returns false if the request was refused.
  bool ConfirmKey(RelayContext& aContext, OpenRequest& aRequest);

  /// Sets the workspace that holds the key now. Returns why the request may not
  /// be sent, if so.
  std::optional<Error> FindWorkspace(RelayContext& aContext,
                                     OpenRequest& aRequest) const;

  /// Refuses a request whose newest call came too late to be sent with its key.
  /// Returns whether it did.
  bool RefuseLapsedCall(RelayContext& aContext,
                        OpenRequest& aRequest,
                        const RelayCallEnded& aEnded);
  void GiveUpKey(RelayContext& aContext, OpenRequest& aRequest, Error aError);
  /// Takes units of the workspace's quota. Returns false if the request was
  /// refused or waits for units.
  bool AdmitQuota(RelayContext& aContext, OpenRequest& aRequest);
  bool Apply(RelayContext& aContext,
             OpenRequest& aRequest,
             const QuotaDecision& aDecision);

  /// Goes on with requests that have waited for units.
  void Resume(RelayContext& aContext,
              const std::vector<WorkspaceDecision>& aDecisions);

  /// Gives back the units of a request that ends and has not run.
  void SettleQuota(RelayContext& aContext, const OpenRequest& aRequest);
  void LogQuotaRefusal(RelayContext& aContext,
                       const OpenRequest& aRequest,
                       const QuotaDecision& aDecision);
  void OnQuotaTimer(RelayContext& aContext);

  void Refuse(RelayContext& aContext,
              OpenRequest& aRequest,
              Error aError,
              Duration aRetryAfter);

  /// Ends a request without an answer of a replica: with aNotRun and
  /// aRetryAfter if no call may have run it, and with aMayHaveRun otherwise.
  void GiveUp(RelayContext& aContext,
              OpenRequest& aRequest,
              Error aNotRun,
              Duration aRetryAfter,
              Error aMayHaveRun);
  void GiveUpLeaving(RelayContext& aContext, OpenRequest& aRequest);

  /// Refuses a request with content that crashes replicas. Returns whether it
  /// did.
  bool RefuseCrashingContent(RelayContext& aContext, OpenRequest& aRequest);

  /// Refuses the requests that wait for a replica with content that is refused
  /// from now on.
  void RefuseWaitingContent(RelayContext& aContext);

  /// Whether the request became a suspect, or one of other content, after its
  /// placement was asked for.
  bool IsUnknownSuspect(RelayContext& aContext,
                        const OpenRequest& aRequest,
                        const RelayPlacement& aPlacement);

  /// Time until a replica accepts the request if all have asked for a backoff;
  /// empty otherwise.
  std::optional<Duration> BackoffFor(RelayContext& aContext,
                                     const OpenRequest& aRequest) const;
  bool IsBackedOff(RelayContext& aContext, const ServerName& aServer) const;

  /// Result of a placement whose server rejected the request. A backoff is not
  /// a failure.
  PlacementResult ResultOfRejection(RelayContext& aContext,
                                    const ServerName& aServer) const;
  void RefuseUntilBackoffEnds(RelayContext& aContext,
                              OpenRequest& aRequest,
                              Duration aBackoff);
  PlaceRequest MakePlaceRequest(RelayContext& aContext,
                                const OpenRequest& aRequest,
                                const RelayPlacement& aPlacement);
  /// Time that the caller still waits for the next event, or for the answer.
  Duration TimeUntilAnswer(const RelayContext& aContext,
                           const OpenRequest& aRequest) const;
  void Place(RelayContext& aContext, OpenRequest& aRequest, bool aIsLocal);

  /// Asks a scheduler for a placement. Returns false if no replica is known.
  bool SendPlaceRequest(RelayContext& aContext,
                        const OpenRequest& aRequest,
                        RelayPlacement& aPlacement,
                        bool aIsLocal);

  /// Places through the scheduler that takes the place of one that can't be
  /// reached, or through this node's own; aLogEvent names the cause.
  void PlaceElsewhere(RelayContext& aContext,
                      const std::vector<CallerId>& aCallers,
                      const char* aLogEvent);
  void EndPlacement(RelayContext& aContext,
                    OpenRequest& aRequest,
                    PlacementResult aResult,
                    const ServerName& aFailed,
                    int aTokens);
  void ReportProgress(RelayContext& aContext,
                      OpenRequest& aRequest,
                      PlacementStep aStep);
  void StartStage(RelayContext& aContext,
                  OpenRequest& aRequest,
                  RelayStage aStage,
                  const ServerName& aServer);
  void StartFirstStage(RelayContext& aContext, OpenRequest& aRequest);
  void OnPrefilled(RelayContext& aContext,
                   OpenRequest& aRequest,
                   const RelayCallEnded& aEnded);
  void OnAnswered(RelayContext& aContext,
                  OpenRequest& aRequest,
                  const RelayCallEnded& aEnded);
  void OnNotRun(RelayContext& aContext,
                OpenRequest& aRequest,
                const RelayCallEnded& aEnded);
  void OnBroken(RelayContext& aContext,
                OpenRequest& aRequest,
                const RelayCallEnded& aEnded);
  bool CanRunAgain(const OpenRequest& aRequest) const;

  /// Whether the limits of the request allow another call in place of the
  /// current one.
  bool CanReplaceCall(const OpenRequest& aRequest) const;
  int CallsOfRetry(const OpenRequest& aRequest) const;

  /// Silence of the newest call after which another replica is sought; zero if
  /// the call is kept because the answer of another one would come too late.
  Duration SilenceLimit(const RelayContext& aContext,
                        const OpenRequest& aRequest,
                        RelayStage aStage,
                        const ServerName& aServer) const;
  CallWork WorkOf(const OpenRequest& aRequest, RelayStage aStage) const;
  void RecordAnswerTime(RelayContext& aContext, const OpenRequest& aRequest);
  bool SpendRetryBudget(RelayContext& aContext, OpenRequest& aRequest);

  /// Charges the retry budget and starts over, with the successor's placement
  /// if there is one. Returns false if the budget does not allow it.
  bool TryAgain(RelayContext& aContext,
                OpenRequest& aRequest,
                const ServerName& aFailed);
  void SeekSuccessor(RelayContext& aContext, OpenRequest& aRequest);
  void OnSuccessorPlaced(RelayContext& aContext,
                         OpenRequest& aRequest,
                         const Placed& aPlaced);
  void DropSuccessor(RelayContext& aContext, OpenRequest& aRequest);

  /// Drops the successors that aScheduler was asked for.
  void DropSuccessorsOf(RelayContext& aContext, const NodeId& aScheduler);
  void OnExpired(RelayContext& aContext, OpenRequest& aRequest);
  void SendHeldPlacements(RelayContext& aContext, const NodeId& aScheduler);

  /// Ends the placements at their current schedulers and requests new ones;
  /// with aIsLocal from this node's own scheduler.
  void Reschedule(RelayContext& aContext,
                  const std::vector<CallerId>& aCallers,
                  const char* aLogEvent,
                  bool aIsLocal);

  /// Ends a stream that has started; aText is the reason for the log.
  void AbortStream(RelayContext& aContext,
                   OpenRequest& aRequest,
                   std::string aText);
  void ReleaseKv(RelayContext& aContext, OpenRequest& aRequest);
  void Close(RelayContext& aContext, OpenRequest& aRequest);

  RouteTable mRoutes;
  WorkspaceTable mWorkspaces;
  KeyProof mKeyProof;
  WorkspaceQuotas mQuotas;
  std::map<WorkspaceName, Instant> mQuotaLoggedAt; ///< Last refusal logged.
  ShardChooser mShards;
  ServiceRetryBudget mBudget;
  ContentGuard mContentGuard;
  HeardLimits mLimits;
  ServerBackoffs mBackoffs;
  AnswerTimes mAnswerTimes;
  std::map<CallerId, OpenRequest> mOpen;
  std::map<AttemptId, CallerId> mCallerByAttempt;
  std::map<NodeId, Instant> mSchedulerUsedAt;  ///< Last placement request.
  std::map<NodeId, Instant> mConnectionLostAt; ///< Last lost connection.
  Instant mHeldSentAt{};
  std::uint64_t mLastAttempt = 0;
};

} // namespace heatherfork::detail
