#pragma once

#include <string_view>

namespace heatherfork {

/// The release version, "major.minor.patch".
std::string_view
Version();

} // namespace heatherfork
