#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "heatherfork/detail/json/value.h"
#include "heatherfork/time.h"

namespace heatherfork::ctl::detail {

/// HTTP client for the admin interface of a node.
class AdminClient
{
public:
  /// The address has the form "HOST:PORT". An empty key is not sent. The
  /// timeout applies to the connection set-up and to each period without
  /// received data.
  AdminClient(std::string aAddress, std::string aKey, Duration aTimeout);

  /// Sends a GET request for a path. Returns Unavailable if no complete
  /// response arrives, and InvalidArgument if the status is not 200 or the body
  /// is not JSON. Never throws.
  absl::StatusOr<heatherfork::detail::json::Value> Get(
    const std::string& aPath) const;

private:
  std::string mAddress;
  std::string mKey;
  Duration mTimeout;
};

/// Percent-encodes all but the unreserved bytes (RFC 3986) of a path segment.
std::string
EscapeSegment(const std::string& aText);

} // namespace heatherfork::ctl::detail
