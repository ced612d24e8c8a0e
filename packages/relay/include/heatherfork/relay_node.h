#pragma once

#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "heatherfork/node_settings.h"
#include "heatherfork/relay_settings.h"
#include "heatherfork/relay_wire.h"

/// A node that relays opaque requests.
namespace heatherfork {

/// Where the node listens and what it reads.
struct RelayNodeSettings
{
  NodeSettings mNode;
  RelaySettings mRelay;
  std::string mPeerKey;
  Address mPeerListen;
  Address mCallers;
  std::vector<Address> mInfo; ///< Entries and readiness.
  Address mMetrics;           ///< Empty: none are served.
  Address mStore;
  std::string mLogLevel = "info";

  auto operator<=>(const RelayNodeSettings&) const = default;
};

/// Runs in a thread of its own beside that of the connections between nodes.
class RelayNode
{
public:
  /// The wire must outlive the node.
  RelayNode(RelayNodeSettings aSettings, const RelayWire& aWire);
  ~RelayNode();
  RelayNode(const RelayNode&) = delete;
  RelayNode& operator=(const RelayNode&) = delete;

  /// Unavailable when an address can't be listened on.
  absl::Status Start();

  /// Begins a planned stop. Safe from any thread.
  void RequestStop();

  /// Logs that the settings were to be read again; they hold until a restart.
  void NoteReload();

  void WaitUntilStopped();

private:
  class State;
  std::unique_ptr<State> mState;
};

} // namespace heatherfork
