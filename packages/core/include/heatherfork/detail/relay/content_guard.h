#pragma once

#include <map>
#include <optional>
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
  void OnTimer(RelayContext& aContext);

private:
  /// Requests whose connections to one replica were lost.
  struct LostCalls
  {
    std::uint64_t mCrash = 0;
    std::vector<std::vector<ContentId>> mContents; ///< Of each request.
    std::vector<ContentId> mRanAlone;
  };

  /// Returns the content that is refused from now on.
  std::vector<ContentId> RecordCrash(RelayContext& aContext,
                                     const ContentReport& aReport);

  CrashingContent mContent;
  std::map<ServerName, LostCalls> mUnchecked;
  Instant mSharedAt{}; ///< When refused content was last sent to other nodes.
};

} // namespace heatherfork::detail
