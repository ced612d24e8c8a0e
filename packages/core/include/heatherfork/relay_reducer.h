#pragma once

#include <memory>

#include "heatherfork/node_settings.h"
#include "heatherfork/relay_effect.h"
#include "heatherfork/relay_event.h"
#include "heatherfork/relay_settings.h"

/// Decides what becomes of opaque requests.
namespace heatherfork {

/// What a node says of itself.
struct RelayView
{
  RoutingPtr mRouting; ///< Null until one was read.
  std::size_t mReplicas = 0;
  std::size_t mOpenRequests = 0;
  bool mLeaving = false;

  /// Whether callers may be sent here.
  bool IsReady() const
  {
    return mRouting != nullptr && mReplicas > 0 && !mLeaving;
  }
};

/// One reducer, (state, event) -> effects. Shares membership and scheduling
/// with the Reducer.
class RelayReducer
{
public:
  RelayReducer(NodeSettings aNode, RelaySettings aRelay);
  ~RelayReducer();
  RelayReducer(const RelayReducer&) = delete;
  RelayReducer& operator=(const RelayReducer&) = delete;

  RelayEffects Reduce(const RelayEvent& aEvent);

  RelayView View() const;
  const Members& KnownMembers() const;

  /// Where callers from a zone should connect: nodes that serve, this one last
  /// to be left out.
  std::vector<Address> EntriesFor(const ZoneName& aZone) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace heatherfork
