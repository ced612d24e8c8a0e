#pragma once

#include <string>

/// Names from outside in log lines.
namespace heatherfork::detail {

/// Formats a name as a single value of a log line: as it is if it is plain,
/// else quoted and with C-style escapes.
std::string
LogValue(const std::string& aName);

} // namespace heatherfork::detail
