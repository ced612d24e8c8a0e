#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "heatherfork/detail/http/connection_deadlines.h"
#include "heatherfork/detail/http/strict_stream.h"
#include "heatherfork/detail/metrics/metrics.h"

/// HTTP connections of callers.
namespace heatherfork::detail {

/// Shared by the connections of one server.
struct ConnectionContext
{
  Poco::Net::HTTPServerParams::Ptr mParams;
  Poco::Net::HTTPRequestHandlerFactory::Ptr mHandlers;
  ConnectionDeadlines& mDeadlines;
  Metrics& mMetrics;
  Duration mHeaderTimeout{};
};

/// Serves the requests of one connection in sequence. Unlike the library's
/// connection, it answers malformed input with an error before closing, and
/// limits the time for the whole header rather than for each read.
class CallerConnection final : public Poco::Net::TCPServerConnection
{
public:
  CallerConnection(const Poco::Net::StreamSocket& aSocket,
                   const ConnectionContext& aContext);

  void run() override;

private:
  bool HasNextRequest(Poco::Net::HTTPServerSession& aSession);
  void ServeRequest(Poco::Net::HTTPServerSession& aSession);
  void RefuseInput(Poco::Net::HTTPServerSession& aSession);

  /// The stream owned by this connection's socket.
  StrictStream& Stream();

  ConnectionContext mContext;
};

/// Creates the connections of one server.
class CallerConnectionFactory final
  : public Poco::Net::TCPServerConnectionFactory
{
public:
  explicit CallerConnectionFactory(ConnectionContext aContext);

  Poco::Net::TCPServerConnection* createConnection( // NOLINT
    const Poco::Net::StreamSocket& aSocket) override;

private:
  ConnectionContext mContext;
};

} // namespace heatherfork::detail
