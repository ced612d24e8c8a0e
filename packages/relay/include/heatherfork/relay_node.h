#pragma once

#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "heatherfork/node_settings.h"
#include "heatherfork/relay_settings.h"
#include "heatherfork/relay_wire.h"

/// A node that relays requests with opaque bodies.
namespace heatherfork {

/// Settings of a relaying node: addresses, peer key, store, log level.
struct RelayNodeSettings
{
  NodeSettings mNode;
  RelaySettings mRelay;
  std::string mPeerKey;
  Address mPeerListen;
  Address mCallerListen;
  std::vector<Address> mInfoListen; ///< Serve entries and readiness.
  Address mMetricsListen;           ///< Metrics are disabled when empty.
  Address mStoreAddress;
  std::string mLogLevel = "info";
  std::size_t mMemoryBytes = std::size_t{ 256 } << 20;  ///< Of the machine.
  std::size_t mMaxAnswerBytes = std::size_t{ 4 } << 20; ///< Of one answer that
                                                        ///< is no stream.
  /// Read of one stream for long; one second's worth may come at once.
  std::size_t mStreamBytesPerSecond = std::size_t{ 512 } << 10;

  auto operator<=>(const RelayNodeSettings&) const = default;
};

/// Runs its event loop on its own thread. A second thread serves the
/// connections between nodes.
class RelayNode
{
public:
  /// aWire must outlive the node.
  RelayNode(RelayNodeSettings aSettings, const RelayWire& aWire);
  ~RelayNode();
  RelayNode(const RelayNode&) = delete;
  RelayNode& operator=(const RelayNode&) = delete;

  /// Returns Unavailable if an address can't be listened on.
  absl::Status Start();

  /// Starts a planned stop. Thread-safe.
  void RequestStop();

  /// Logs a request to reload the settings. Changed settings take effect only
  /// after a restart.
  void LogReloadRequest();

  void WaitUntilStopped();

private:
  class State;
  std::unique_ptr<State> mState;
};

} // namespace heatherfork
