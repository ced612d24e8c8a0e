#pragma once

#include <deque>
#include <random>

#include "heatherfork/configuration.h"
#include "heatherfork/effect.h"
#include "heatherfork/event.h"
#include "heatherfork/member.h"
#include "heatherfork/node_settings.h"

/// State that the sub-reducers share while an event is reduced.
namespace heatherfork::detail {

/// The event's time, the node's state, and the effects of the event so far.
struct Context
{
  const NodeSettings& mSettings;
  Instant mNow{};
  const ConfigurationPtr& mConfiguration; ///< Null until one is accepted.
  const Members& mMembers;
  std::mt19937_64& mRandom;
  Effects& mEffects;
  std::deque<PeerMessage>& mToSelf;
  /// Rises whenever mMembers changes; 0 when it is not tracked.
  std::uint64_t mMembersNumber = 0;

  /// Sends a message to a node. Messages to this node itself are queued in
  /// `mToSelf` and need no connection.
  void Send(const NodeId& aPeer, PeerMessage aMessage);

  template<class T>
  void Emit(T aEffect)
  {
    mEffects.emplace_back(std::move(aEffect));
  }
};

} // namespace heatherfork::detail
