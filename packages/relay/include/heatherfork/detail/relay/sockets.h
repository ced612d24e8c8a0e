#pragma once

#include <string>

#include <absl/status/status.h>

#include "heatherfork/ids.h"

/// Non-blocking TCP sockets.
namespace heatherfork::relay {

/// A listening socket, or the reason why there is none.
absl::Status
Listen(const Address& aAddress, int& aDescriptor);

/// Begins to connect; -1 when that failed at once.
int
BeginConnect(const Address& aAddress);

/// Sets what every connection of ours has: no delay, and an end when the other
/// side's acknowledgements stay out.
void
SetUpConnection(int aDescriptor);

/// The next accepted connection; -1 when there is none.
int
Accept(int aListener);

/// Whether a connection that was begun is established.
bool
IsConnected(int aDescriptor);

/// What a read or a write came to.
enum class IoResult
{
  kOk,
  kWouldBlock,
  kEnd,
  kFailed,
};

/// Reads at most one piece and appends it.
IoResult
ReadSome(int aDescriptor, std::string& aBuffer);

/// Writes from aFrom on and moves it.
IoResult
WriteSome(int aDescriptor, const std::string& aBuffer, std::size_t& aFrom);

} // namespace heatherfork::relay
