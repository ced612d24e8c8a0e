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

  /// The replica closed or reset the connection of a running request. It may
  /// have crashed.
  void OnConnectionLost(RelayContext& aContext,
                        const RelayRequest& aRequest,
                        const Replica& aReplica);

  /// The request was answered completely.
  void OnAnswered(RelayContext& aContext, const RelayRequest& aRequest);

  void On(RelayContext& aContext, const ServerChecked& aEvent);
  void On(RelayContext& aContext,
          const NodeId& aFrom,
          const ContentReport& aReport);
  void OnTimer(RelayContext& aContext);

private:
  /// Requests whose connections to one replica were lost.
  struct LostCalls
  {
    std::uint64_t mCrash = 0;
    std::vector<std::vector<ContentId>> mContents; ///< Of each request.
  };

  void RecordCrash(RelayContext& aContext,
                   std::uint64_t aCrash,
                   const std::vector<ContentId>& aContents);

  CrashingContent mContent;
  std::map<ServerName, LostCalls> mUnchecked;
  Instant mSharedAt{}; ///< When refused content was last sent to other nodes.
};

} // namespace heatherfork::detail
