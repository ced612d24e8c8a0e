#pragma once

#include <set>

#include "heatherfork/configuration.h"
#include "heatherfork/event.h"

/// Leaving marks of backend servers from the platform's VM list.
namespace heatherfork::detail {

/// Merges the VM list's leaving marks into the published configuration, so
/// that all placement code uses one leaving state.
class LeavingMarks
{
public:
  /// Stores the marks of a VM list; true when they changed.
  bool On(const VmListRead& aList);

  /// Returns the configuration with the marks applied, or the same pointer
  /// when nothing changes. Linear in the number of backend servers.
  ConfigurationPtr Apply(const ConfigurationPtr& aPublished) const;

private:
  std::set<std::string> mLeaving; ///< Names of backend servers.
};

} // namespace heatherfork::detail
