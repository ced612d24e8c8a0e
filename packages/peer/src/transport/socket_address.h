#pragma once

#include <Poco/Net/SocketAddress.h>
#include <absl/status/statusor.h>

#include "heatherfork/ids.h"

namespace heatherfork::detail {

/// Parses "10.0.0.1:7000" or "[::1]:7000". Does not resolve host names.
absl::StatusOr<Poco::Net::SocketAddress>
ParseAddress(const Address& aAddress);

} // namespace heatherfork::detail
