#pragma once

#include <optional>
#include <vector>

#include "heatherfork/detail/scheduling/server_state.h"
#include "heatherfork/peer_message.h"

/// Reserves servers for a request that is a crash suspect.
namespace heatherfork::detail {

/// Isolates one crash suspect at a time within a shard.
class Isolation
{
public:
  /// Selects the least loaded servers and stops new placements on them. Returns
  /// false when another suspect is isolated or no server fits.
  bool Begin(const std::vector<ServerStatePtr>& aServers,
             const PlaceRequest& aSuspect);

  /// Returns true once the reserved servers have no work left.
  bool IsReady(const AttemptId& aSuspect) const;

  /// Returns the servers to normal use if they are reserved for this attempt.
  void End(const AttemptId& aSuspect);

  const ServerStatePtr& Prefill() const { return mPrefill; }
  const ServerStatePtr& Server() const { return mServer; }

private:
  std::optional<AttemptId> mSuspect;
  ServerStatePtr mPrefill; ///< Null for a plain call.
  ServerStatePtr mServer;
};

} // namespace heatherfork::detail
