#pragma once

#include <memory>

#include "heatherfork/node_settings.h"
#include "heatherfork/quota_counts.h"
#include "heatherfork/relay_effect.h"
#include "heatherfork/relay_event.h"
#include "heatherfork/relay_settings.h"
#include "heatherfork/server_limit.h"

/// Decides how opaque requests are handled.
namespace heatherfork {

/// State of a node for readiness, status and metrics.
struct RelayView
{
  RoutingPtr mRouting; ///< Null until one was read.
  std::size_t mReplicas = 0;
  std::size_t mOpenRequests = 0;
  bool mLeaving = false;
  std::vector<ServerLimit> mLimits;     ///< In force, as this node heard them.
  std::optional<Duration> mKeyProofAge; ///< See detail::KeyProof.
  bool mShouldAskStore = false;     ///< Other nodes don't confirm the routes.
  std::vector<QuotaCounts> mQuotas; ///< Those with the most used units.
  std::size_t mOwnedQuotas = 0; ///< Workspaces that get credit of this node.

  /// Whether this node accepts callers.
  bool IsReady() const
  {
    return mRouting != nullptr && mReplicas > 0 && !mLeaving;
  }
};

/// A reducer, (state, event) -> effects. Shares membership and scheduling with
/// the Reducer.
class RelayReducer
{
public:
  RelayReducer(NodeSettings aNode, RelaySettings aRelaySettings);
  ~RelayReducer();
  RelayReducer(const RelayReducer&) = delete;
  RelayReducer& operator=(const RelayReducer&) = delete;

  RelayEffects Reduce(const RelayEvent& aEvent);

  RelayView View() const;

  /// Why a request that arrives is refused whatever its body is, if so. Empty
  /// as long as no routing is known.
  std::optional<Error> HeadError(const RelayRequest& aRequest,
                                 Instant aNow) const;
  const Members& KnownMembers() const;

  /// Addresses for callers, see EntryAddresses; this node's only while it is
  /// ready.
  std::vector<Address> Entries() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace heatherfork
