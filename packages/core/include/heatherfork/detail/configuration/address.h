#pragma once

#include <string_view>

namespace heatherfork::detail {

inline constexpr std::string_view kAddressExpected =
  "an IP address and a port, such as \"10.0.0.1:8080\" or "
  "\"[fd00::1]:8080\"";

/// True for an IPv4 or bracketed IPv6 address with a port from 1 to 65535
/// without leading zeros.
bool
IsAddress(std::string_view aText);

} // namespace heatherfork::detail
