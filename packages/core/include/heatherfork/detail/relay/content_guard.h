#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
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
  std::optional<Duration> RefusedFor(const RelayContext& aContext,
                                     const RelayRequest& aRequest) const;

  /// Whether an equal request was running at a crash, or where a connection was
  /// lost and a crash is not ruled out yet.
  bool IsSuspect(const RelayRequest& aRequest) const;

  /// The replica closed or reset the connection of a running request. It may
  /// have crashed. aRanAlone: the request was placed as a suspect.
  void OnConnectionLost(RelayContext& aContext,
                        const RelayRequest& aRequest,
                        const Replica& aReplica,
                        bool aRanAlone);

  /// The request was answered completely.
  void OnAnswered(RelayContext& aContext, const RelayRequest& aRequest);

  /// Return whether content is refused that was not before.
  bool On(RelayContext& aContext, const ServerChecked& aEvent);
  bool On(RelayContext& aContext,
          const NodeId& aFrom,
          const ContentReport& aReport);
  bool OnReplicas(RelayContext& aContext, const Replicas& aReplicas);

  /// Another replica now uses the address of aServer.
  bool OnReplaced(RelayContext& aContext, const ServerName& aServer);

  /// Reports earlier crashes to new nodes.
  void OnJoined(RelayContext& aContext, const std::vector<NodeId>& aNodes);
  void OnTimer(RelayContext& aContext);

private:
  /// Requests whose connections to one replica were lost.
  struct LostCalls
  {
    Replica mReplica;
    int mCount = 0;
    std::set<ContentId> mContents;
    std::set<ContentId> mRequests; ///< The whole requests among mContents.
    std::set<ContentId> mRanAlone;
    Instant mLostAt{};
    bool mIsAccepting = false; ///< It has accepted a connection since.
  };

  struct KnownCrash
  {
    Instant mAt{};
    ContentReport mReport;
  };

  /// Reports a crash of the replica whose calls were lost.
  bool OnCrashed(RelayContext& aContext, const LostCalls& aLost);

  /// Returns the content that is refused from now on.
  std::vector<ContentId> RecordCrash(RelayContext& aContext,
                                     const ContentReport& aReport);
  void KeepCrash(Instant aNow, const ContentReport& aReport);
  std::vector<ContentReport> KnownCrashes() const;

  /// Returns whether the content was a suspect.
  bool OnSound(ContentId aContent);

  CrashingContent mContent;
  std::map<ServerName, LostCalls> mLost;
  std::deque<KnownCrash> mCrashes; ///< Of the last minute, the oldest first.
  std::map<NodeId, Instant> mJoinedAt; ///< Of nodes that may know nothing yet.
  Instant mSharedAt{}; ///< When refused content was last sent to other nodes.
};

} // namespace heatherfork::detail
