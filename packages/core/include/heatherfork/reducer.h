#pragma once

#include <memory>
#include <optional>

#include "heatherfork/configuration_document.h"
#include "heatherfork/effect.h"
#include "heatherfork/event.h"
#include "heatherfork/member.h"
#include "heatherfork/node_settings.h"

/// A node's behaviour as a deterministic state machine.
namespace heatherfork {

namespace detail {
class Scheduler;
}

/// Turns events into effects. Equal settings and equal events give equal
/// effects. Not thread-safe.
class Reducer
{
public:
  explicit Reducer(const NodeSettings& aSettings);

  /// Uses another scheduler, and members that are known from the start. For
  /// benchmarks.
  Reducer(NodeSettings aSettings,
          std::unique_ptr<detail::Scheduler> aScheduler,
          const Members& aMembers);
  Reducer(const Reducer&) = delete;
  Reducer& operator=(const Reducer&) = delete;
  ~Reducer();

  /// Handles one event. The times of successive events must not decrease.
  Effects Reduce(const Event& aEvent);

  const NodeSettings& Settings() const;
  const Members& KnownMembers() const;

  /// Null until a configuration is accepted.
  ConfigurationPtr CurrentConfiguration() const;

  /// The newest refused revision, if it is above the current one. Revision 0
  /// stands for a malformed head.
  std::optional<RefusedRevision> RefusedConfiguration() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace heatherfork
