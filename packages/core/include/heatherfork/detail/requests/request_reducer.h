#pragma once

#include "heatherfork/detail/requests/orphaned_attempts.h"
#include "heatherfork/detail/requests/request_state.h"

/// The sub-reducer for callers' requests.
namespace heatherfork::detail {

/// Admits requests, runs their attempts, and answers each waiter exactly once.
class RequestReducer
{
public:
  void On(Context& aContext, const CallerRequested& aRequested);
  void On(Context& aContext, const CallerGone& aGone);
  void On(Context& aContext, const ServerReplied& aReplied);
  void On(Context& aContext, const TokensReceived& aTokens);
  void On(Context& aContext, const TimerFired& aTimer);

  void On(Context& aContext,
          const NodeId& aFrom,
          const ForwardRequest& aForward);
  void On(Context& aContext, const NodeId& aFrom, const ForwardAnswer& aAnswer);
  void On(Context& aContext, const NodeId& aFrom, const Placed& aPlaced);
  void On(Context& aContext,
          const NodeId& aFrom,
          const PlacementQueued& aQueued);
  void On(Context& aContext,
          const NodeId& aFrom,
          const PlacementRefused& aRefused);

  void On(Context& aContext, const NodeId& aFrom, const CrashReport& aReport);

  /// Handles a node that is unreachable or dead. Requests forwarded to it fail
  /// with `kHomeUnreachable`; placements requested from it are made locally.
  void OnNodeLost(Context& aContext, const NodeId& aNode);

  /// Cancels the attempts of a dead node at the engines, if this node is one of
  /// the two that rendezvous hashing selects for it.
  void CancelAttemptsOfNode(Context& aContext, const NodeId& aNode);

  /// Refuses new requests from now on, except those that name this node as
  /// their home.
  void SetLeaving() { mState.mIsLeaving = true; }

  /// Raises the epoch, so that new attempt ids are above the range that other
  /// nodes may have cancelled. A lower value has no effect.
  void SetEpoch(std::uint32_t aEpoch);

  /// Also rises when an engine reports that another node has cancelled an
  /// attempt of this one.
  std::uint32_t Epoch() const { return mState.mEpoch; }

  /// Whether no request is running and no cancel is pending.
  bool IsIdle() const;

  const RequestState& State() const { return mState; }

private:
  void OnDeadline(Context& aContext, RunningRequest& aRequest);
  void OnWakeUp(Context& aContext, RunningRequest& aRequest);

  RequestState mState;
  OrphanedAttempts mOrphanedAttempts;
};

} // namespace heatherfork::detail
