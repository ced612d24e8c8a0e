#pragma once

#include <string>
#include <vector>

#include "heatherfork/configuration.h"

/// Effects of a configuration change, described for operators.
namespace heatherfork::ctl {

/// One effect of a configuration change.
struct Change
{
  /// Whether something is withdrawn or refused, such as a removed server or a
  /// replaced key.
  bool mIsLoss = false;
  std::string mText; ///< One line of text.

  auto operator<=>(const Change&) const = default;
};

/// Returns the effects of replacing one configuration by another, grouped by
/// topic and sorted by name within a topic. Empty if both are equal.
/// Complexity: O(n log n) in the number of items.
std::vector<Change>
DescribeChange(const Configuration& aOld, const Configuration& aNew);

} // namespace heatherfork::ctl
