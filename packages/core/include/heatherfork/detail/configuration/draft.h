#pragma once

#include <vector>

#include "heatherfork/configuration.h"
#include "heatherfork/detail/configuration/mistake_list.h"

namespace heatherfork::detail {

/// A configuration under construction. Its lists hold one item per document
/// item, including invalid ones.
struct Draft
{
  Configuration mConfiguration;
  std::vector<ServiceName> mServices;
  std::vector<DocumentLocation> mCallLocations; ///< One for each call.
  bool mHasClasses = false; ///< True when the part was readable.
  bool mHasModels = false;
  bool mHasServices = false;
  bool mHasLimits = false;
};

/// Validates across parts: references, unique names and addresses, and rules
/// that span classes, limits and models. Does not report references into parts
/// that were unreadable.
void
CheckAcrossParts(const Draft& aDraft, MistakeList& aMistakes);

} // namespace heatherfork::detail
