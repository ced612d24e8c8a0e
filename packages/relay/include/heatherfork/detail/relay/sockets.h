#pragma once

#include <string>

#include <absl/status/status.h>

#include "heatherfork/ids.h"
#include "heatherfork/time.h"

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

/// Sets the socket options of every connection: no delay, a limit of unsent
/// bytes, and a limit of the peer's silence.
void
SetUpConnection(int aDescriptor);

/// Sets how long the kernel keeps a connection whose peer does not acknowledge
/// what it was sent, even if it answers otherwise; 0: as long as the system's
/// limit of retries allows.
void
SetKernelTimeout(int aDescriptor, Duration aTimeout);

/// Accepts a connection. Returns -1 if none is pending.
int
Accept(int aListener);

/// Whether the socket has no pending error, once a connect has finished.
bool
IsConnected(int aDescriptor);

/// Whether a connect failed as nothing listens at the address.
bool
IsRefused(int aDescriptor);

/// Bytes that were written and that the peer has not acknowledged.
std::size_t
UnacknowledgedBytes(int aDescriptor);

/// Returns an empty text if the connection has ended.
std::string
PeerAddress(int aDescriptor);

/// Result of a read or write.
enum class IoResult
{
  kOk,
  kWouldBlock,
  kEnd,
  kFailed,
  kSilent, ///< The peer has stopped answering; its machine may be gone.
};

/// Whether the connection can't be used any more.
constexpr bool
IsLost(IoResult aResult)
{
  return aResult == IoResult::kFailed || aResult == IoResult::kSilent;
}

/// Reads at most once and appends the bytes to aBuffer.
IoResult
ReadSome(int aDescriptor, std::string& aBuffer);

/// Writes aBuffer from offset aFrom on, and advances aFrom.
IoResult
WriteSome(int aDescriptor, const std::string& aBuffer, std::size_t& aFrom);

} // namespace heatherfork::relay
