#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "heatherfork/ids.h"

/// The greeting with which each side of a connection identifies itself.
namespace heatherfork::detail {

/// Identifies the sender and, from the dialer, the connection.
struct Greeting
{
  NodeId mNode;
  Address mAddress; ///< Address on which the node listens.
  std::uint64_t mLinkNumber =
    0; ///< Chosen by the dialer for each peer address; 0
       ///< from the acceptor. A new connection replaces
       ///< an older one with the same number.

  auto operator<=>(const Greeting&) const = default;
};

std::string
EncodeGreeting(const Greeting& aGreeting);

/// Returns InvalidArgument for a malformed greeting or one without a node.
absl::StatusOr<Greeting>
DecodeGreeting(std::string_view aBytes);

} // namespace heatherfork::detail
