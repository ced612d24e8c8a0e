#pragma once

#include <memory>

#include <absl/status/status.h>

#include "heatherfork/settings.h"

/// A node that serves callers.
namespace heatherfork {

/// Listens for callers and peers, reads the configuration and the list of VMs
/// from the platform, and serves requests.
class Node
{
public:
  /// The incarnation and the random seed in the settings must be set.
  explicit Node(Settings aSettings);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  /// Returns Unavailable when it cannot listen on an address.
  absl::Status Start();

  /// Starts a planned stop; open requests are answered first.
  void RequestStop();

  /// Waits until a planned stop is complete.
  void WaitUntilStopped();

private:
  class State;
  std::unique_ptr<State> mState;
};

} // namespace heatherfork
