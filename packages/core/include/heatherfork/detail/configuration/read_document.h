#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "heatherfork/detail/configuration/mistake_list.h"
#include "heatherfork/detail/json/value.h"

namespace heatherfork::detail {

/// Parses the JSON of a head or a part within the document limits. Returns
/// nothing after a mistake.
std::optional<json::Value>
ReadDocument(const std::string& aPart,
             std::string_view aBytes,
             MistakeList& aMistakes);

} // namespace heatherfork::detail
