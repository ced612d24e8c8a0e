#pragma once

#include <map>
#include <string>

namespace heatherfork::test {

/// Returns the parts of a valid configuration. Different arguments change one
/// value of the part "limits" only.
std::map<std::string, std::string>
SampleParts(int aMaxQueued);

} // namespace heatherfork::test
