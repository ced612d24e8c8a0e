#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "heatherfork/detail/http/connection_deadlines.h"
#include "heatherfork/detail/http/strict_stream.h"
#include "heatherfork/detail/metrics/metrics.h"

/// One caller's connection.
namespace heatherfork::detail {

/// What the connections of one server share.
struct ConnectionContext
{
  Poco::Net::HTTPServerParams::Ptr mParams;
  Poco::Net::HTTPRequestHandlerFactory::Ptr mHandlers;
  ConnectionDeadlines& mDeadlines;
  Metrics& mMetrics;
  Duration mHeaderTimeout{};
};

/// Serves requests one after the other. Where the library's own connection
/// closes without an answer, this one says what was expected; and it bounds the
/// time for a whole header, not only for each read.
class CallerConnection final : public Poco::Net::TCPServerConnection
{
public:
  CallerConnection(const Poco::Net::StreamSocket& aSocket,
                   const ConnectionContext& aContext);

  void run() override;

private:
  bool HasNextRequest(Poco::Net::HTTPServerSession& aSession);
  void ServeOne(Poco::Net::HTTPServerSession& aSession);
  void RefuseInput(Poco::Net::HTTPServerSession& aSession);

  /// Of this connection's socket, which owns it.
  StrictStream& Stream();

  ConnectionContext mContext;
};

/// Makes the connections of one server.
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
