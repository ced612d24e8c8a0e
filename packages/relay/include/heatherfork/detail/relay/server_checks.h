#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "heatherfork/detail/relay/io_loop.h"
#include "heatherfork/relay_effect.h"
#include "heatherfork/relay_event.h"

/// Checks whether replicas accept connections.
namespace heatherfork::relay {

class ServerChecks
{
public:
  ServerChecks(IoLoop& aLoop, std::function<void(ServerChecked)> aPost);
  ~ServerChecks();

  /// Connects to a replica and posts whether it refused. A connect that takes
  /// too long shows nothing: the replica counts as running.
  void Start(const CheckServer& aCheck, Instant aNow);

  void OnTimer(Instant aNow);

private:
  class Check;

  void Finish(const ServerName& aServer, bool aIsDown);

  IoLoop& mLoop;
  std::function<void(ServerChecked)> mPost;
  std::map<ServerName, std::unique_ptr<Check>> mChecks;
  std::vector<std::unique_ptr<Check>> mFinished; ///< Destroyed by the timer.
};

} // namespace heatherfork::relay
