#pragma once

#include <string_view>

namespace heatherfork::detail {

inline constexpr std::string_view kDigestExpected =
  "64 lower-case hex digits of a SHA-256";

/// True for 64 lower-case hex digits.
bool
IsDigest(std::string_view aText);

} // namespace heatherfork::detail
