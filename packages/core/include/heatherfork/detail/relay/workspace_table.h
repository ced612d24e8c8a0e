#pragma once

#include <string>

#include <absl/container/flat_hash_map.h>

#include "heatherfork/routing.h"

/// Lookup of workspaces by key.
namespace heatherfork::detail {

/// The workspaces of one revision.
class WorkspaceTable
{
public:
  void Update(const RoutingPtr& aRouting);

  /// Whether requests need the key of a workspace.
  bool NeedsKeys() const { return mRouting != nullptr && mRouting->mNeedsKeys; }

  /// The workspace that holds the key; null if there is none. Constant time.
  const RoutedWorkspace* Find(const std::string& aKeyDigest) const;

private:
  RoutingPtr mRouting;
  absl::flat_hash_map<std::string, const RoutedWorkspace*> mByDigest;
};

} // namespace heatherfork::detail
