#pragma once

#include <string>

#include <absl/status/status.h>

#include "heatherfork/ids.h"

/// Non-blocking TCP sockets.
namespace heatherfork::relay {

/// Connections that wait to be accepted, at most.
inline constexpr int kListenBacklog = 1024;

/// Opens a listening socket and sets aDescriptor.
absl::Status
Listen(const Address& aAddress, int& aDescriptor);

/// Starts a non-blocking connect. Returns -1 on immediate failure.
int
BeginConnect(const Address& aAddress);

/// Sets the socket options of every connection: no delay, and a timeout for
/// unacknowledged data.
void
SetUpConnection(int aDescriptor);

/// Accepts a connection. Returns -1 if none is pending.
int
Accept(int aListener);

/// Whether the socket has no pending error, once a connect has finished.
bool
IsConnected(int aDescriptor);

/// Whether a connect failed as nothing listens at the address.
bool
IsRefused(int aDescriptor);

/// Result of a read or write.
enum class IoResult
{
  kOk,
  kWouldBlock,
  kEnd,
  kFailed,
};

/// Reads at most once and appends the bytes to aBuffer.
IoResult
ReadSome(int aDescriptor, std::string& aBuffer);

/// Writes aBuffer from offset aFrom on, and advances aFrom.
IoResult
WriteSome(int aDescriptor, const std::string& aBuffer, std::size_t& aFrom);

} // namespace heatherfork::relay
