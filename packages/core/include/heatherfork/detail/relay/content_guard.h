#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "heatherfork/detail/relay/crashing_content.h"
#include "heatherfork/detail/relay/relay_context.h"
#include "heatherfork/routing.h"

/// Finds content that crashes replicas, with all nodes, and refuses it.
namespace heatherfork::detail {

class ContentGuard
{
public:
  /// Time until requests with this content are accepted again; empty if it is
  /// not refused.
  std::optional<Duration> RefusedFor(RelayContext& aContext,
                                     const RelayRequest& aRequest);

  /// Set if an equal request was running at a crash that nothing explains, or
  /// where a connection was lost and a crash is not ruled out yet. Requests
  /// with the same value must run one at a time.
  std::optional<ContentId> SuspectIn(RelayContext& aContext,
                                     const RelayRequest& aRequest);

  /// The replica closed or reset the connection of a running request. It may
  /// have crashed. aRanAlone: the request was placed as a suspect.
  void OnConnectionLost(RelayContext& aContext,
                        const RelayRequest& aRequest,
                        const Replica& aReplica,
                        bool aRanAlone);

  /// This node has ended the call of a running request, as its replica was
  /// silent or sent no valid answer. The request may go on running there.
  void OnCallGivenUp(RelayContext& aContext,
                     const RelayRequest& aRequest,
                     const Replica& aReplica,
                     bool aRanAlone);

  /// The request was answered completely.
  void OnAnswered(RelayContext& aContext, const RelayRequest& aRequest);

  void On(RelayContext& aContext, const ServerChecked& aEvent);
  void On(RelayContext& aContext,
          const NodeId& aFrom,
          const ContentReport& aReport);
  void OnReplicas(RelayContext& aContext, const Replicas& aReplicas);

  /// Another replica now uses the address of aServer.
  void OnReplaced(RelayContext& aContext, const ServerName& aServer);

  /// Reports earlier crashes to new nodes.
  void OnJoined(RelayContext& aContext, const std::vector<NodeId>& aNodes);
  void OnTimer(RelayContext& aContext);

  /// Returns, once, whether content is refused that was not before.
  bool TakeNewlyRefused() { return std::exchange(mIsNewlyRefused, false); }

private:
  /// Requests whose connections to one replica were lost or given up.
  struct LostCalls
  {
    Replica mReplica;
    int mCount = 0;
    std::map<ContentId, CrashedRequest> mRequests; ///< By fingerprint.
    Instant mLostAt{};
    bool mIsAccepting = true; ///< As far as is known.
  };

  LostCalls& RecordLost(RelayContext& aContext,
                        const RelayRequest& aRequest,
                        const Replica& aReplica,
                        bool aRanAlone);
  void OnCrashReported(RelayContext& aContext, std::uint64_t aCrash);

  /// Records a crash of the replica whose calls were lost, and reports it.
  void OnCrashed(RelayContext& aContext, const LostCalls& aLost);

  /// Applies new evidence. Returns whether content is refused that was not
  /// before.
  bool Update(RelayContext& aContext);

  /// Returns whether the content was running at a known crash.
  bool OnSound(ContentId aContent, bool aIsWholeRequest);
  void SendList(RelayContext& aContext, const NodeId& aNode) const;

  CrashingContent mContent;
  std::vector<CrashingContent::Refusal> mLoggedRefusals;
  std::map<ServerName, LostCalls> mLost;
  std::map<NodeId, Instant> mJoinedAt; ///< Of nodes that may know nothing yet.
  Instant mStartedAt{};
  Instant mSharedAt{}; ///< When the list of crashes was last sent.
  bool mIsNewlyRefused = false;
};

} // namespace heatherfork::detail
