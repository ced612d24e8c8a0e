#pragma once

#include <memory>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/StreamSocket.h>

#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// HTTP connections to other programs, whose responses are validated.
namespace heatherfork::detail {

/// Connects within aTimeout. Throws Poco::Exception.
Poco::Net::StreamSocket
ConnectTo(const Address& aAddress, Duration aTimeout);

/// Returns a session for one request over a connected socket. A broken response
/// ends with an exception, or with an input stream that is bad. aTimeout
/// applies to each period without received data.
std::unique_ptr<Poco::Net::HTTPClientSession>
MakeStrictSession(const Poco::Net::StreamSocket& aSocket, Duration aTimeout);

/// Whether a session of MakeStrictSession has received its whole response.
bool
HasWholeResponse(Poco::Net::HTTPClientSession& aSession);

} // namespace heatherfork::detail
