#pragma once

#include <memory>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include "heatherfork/detail/http/caller_mailbox.h"
#include "heatherfork/detail/http/connection_deadlines.h"
#include "heatherfork/detail/metrics/metrics.h"
#include "heatherfork/detail/runtime/decision_log.h"
#include "heatherfork/detail/runtime/event_loop.h"
#include "heatherfork/detail/runtime/node_view.h"
#include "heatherfork/settings.h"

/// The HTTP server for callers and operators.
namespace heatherfork::detail {

/// The node's components that HTTP request handlers use.
struct HttpContext
{
  const Settings& mSettings;
  EventLoop& mLoop;
  NodeViewHolder& mView;
  CallerRegistry& mCallers;
  Metrics& mMetrics;
  const DecisionLog& mDecisions;
  ConnectionDeadlines& mDeadlines;
};

/// Listens for callers; serves each connection on its own thread.
class CallerServer
{
public:
  explicit CallerServer(HttpContext aContext);

  /// Throws Poco::Exception when it cannot listen on the address.
  void Start();

  /// Stops accepting connections, closes the open ones and joins their
  /// threads.
  void Stop();

private:
  HttpContext mContext;
  Poco::ThreadPool mThreads;
  std::unique_ptr<Poco::Net::TCPServer> mServer;
};

} // namespace heatherfork::detail
