#include "heatherfork/detail/http/caller_connection.h"

#include <istream>
#include <limits>
#include <memory>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>
#include <spdlog/spdlog.h>

#include "heatherfork/detail/http/http_output.h"

namespace heatherfork::detail {

namespace {

using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponseImpl;
using Poco::Net::HTTPServerSession;

Error
ErrorFromFault(relay::HttpFault aFault)
{
  if (aFault == relay::HttpFault::kHeadTooLarge) {
    return Error{ ErrorCode::kHeaderTooLarge,
                  "expected a header of at most 32768 bytes" };
  }
  return Error{ ErrorCode::kBadHttp,
                "expected an HTTP/1.1 request with at most 100 header "
                "fields of at most 8192 bytes, in time" };
}

} // namespace

CallerConnection::CallerConnection(const Poco::Net::StreamSocket& aSocket,
                                   const ConnectionContext& aContext)
  : TCPServerConnection(Poco::Net::StreamSocket(
      new StrictStream(aSocket, StrictStream::Kind::kRequest)))
  , mContext(aContext)
{
}

void
CallerConnection::run()
{
  HTTPServerSession session(socket(), mContext.mParams);
  try {
    while (HasNextRequest(session)) {
      ServeRequest(session);
    }
  } catch (const Poco::Net::NoMessageException&) {
    return; // The caller closed the connection between two requests.
  } catch (const Poco::Net::NetException&) {
    RefuseInput(session);
  } catch (const Poco::DataException&) {
    RefuseInput(session);
  } catch (const std::exception& ec) {
    spdlog::debug("connection closed: {}", ec.what());
  }
}

StrictStream&
CallerConnection::Stream()
{
  return *static_cast<StrictStream*>(socket().impl());
}

bool
CallerConnection::HasNextRequest(HTTPServerSession& aSession)
{
  const auto idleTimeout = mContext.mParams->getKeepAliveTimeout();
  const ConnectionDeadlines::Watch watch(
    mContext.mDeadlines, socket(), Duration(idleTimeout.totalMicroseconds()));
  return aSession.hasMoreRequests();
}

void
CallerConnection::ServeRequest(HTTPServerSession& aSession)
{
  HTTPServerResponseImpl response(aSession);
  std::unique_ptr<HTTPServerRequestImpl> request;
  {
    const ConnectionDeadlines::Watch watch(
      mContext.mDeadlines, socket(), mContext.mHeaderTimeout);
    request = std::make_unique<HTTPServerRequestImpl>(
      response, aSession, mContext.mParams.get());
  }
  const bool keepAlive = mContext.mParams->getKeepAlive() &&
                         request->getKeepAlive() && aSession.canKeepAlive();
  response.setVersion(request->getVersion());
  response.setKeepAlive(keepAlive);
  const std::unique_ptr<Poco::Net::HTTPRequestHandler> handler(
    mContext.mHandlers->createRequestHandler(*request));
  if (request->getExpectContinue()) {
    response.sendContinue();
  }
  handler->handleRequest(*request, response);
  // The unread part of a body must not be parsed as the next request. A body
  // that has arrived completely is skipped; otherwise the input is drained for
  // a short time and the connection is closed.
  const bool isComplete = Stream().IsDone();
  const bool hasBody =
    request->hasContentLength() || request->getChunkedTransferEncoding();
  if (!isComplete) {
    Stream().Drain();
  } else if (hasBody) {
    request->stream().ignore(std::numeric_limits<std::streamsize>::max());
  }
  aSession.setKeepAlive(keepAlive && response.getKeepAlive() && isComplete);
}

void
CallerConnection::RefuseInput(HTTPServerSession& aSession)
{
  const Error error = ErrorFromFault(Stream().Fault());
  mContext.mMetrics.OnBadInput(error.mCode);
  const ConnectionDeadlines::Watch watch(mContext.mDeadlines,
                                         socket(),
                                         mContext.mHeaderTimeout,
                                         ConnectionDeadlines::Use::kAnswering);
  try {
    HTTPServerResponseImpl response(aSession);
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setKeepAlive(false);
    SendError(response, error);
    Stream().Drain();
  } catch (const std::exception&) {
    // The caller has disconnected; nothing was forwarded.
  }
}

CallerConnectionFactory::CallerConnectionFactory(ConnectionContext aContext)
  : mContext(std::move(aContext))
{
}

Poco::Net::TCPServerConnection*
CallerConnectionFactory::createConnection(
  const Poco::Net::StreamSocket& aSocket)
{
  return new CallerConnection(aSocket, mContext);
}

} // namespace heatherfork::detail
