#pragma once

#include <string>

#include "heatherfork/detail/json/value.h"

/// JSON serializer.
namespace heatherfork::detail::json {

/// Serializes aValue without whitespace, keys in stored order. Strings must be
/// UTF-8. Linear.
std::string
Write(const Value& aValue);

} // namespace heatherfork::detail::json
