#pragma once

#include <cstddef>
#include <string>

#include <absl/status/statusor.h>

#include "heatherfork/configuration_document.h"

namespace heatherfork::ctl::detail {

/// Returns the content of a file. Returns NotFound if it can't be read, and
/// InvalidArgument if it has more than `aMaxBytes`.
absl::StatusOr<std::string>
ReadFile(const std::string& aPath, std::size_t aMaxBytes);

/// Reads DIR/head.json and DIR/parts/DIGEST and validates them as a node does.
/// The result lists a missing part as a mistake. Returns NotFound if the head
/// can't be read.
absl::StatusOr<ConfigurationBuildResult>
ReadDirectory(const std::string& aDirectory);

} // namespace heatherfork::ctl::detail
