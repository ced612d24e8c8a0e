#include "heatherfork/detail/relay/workspace_table.h"

namespace heatherfork::detail {

void
WorkspaceTable::Update(const RoutingPtr& aRouting)
{
  mRouting = aRouting;
  mByDigest.clear();
  for (const RoutedWorkspace& workspace : mRouting->mWorkspaces) {
    for (const std::string& digest : workspace.mKeyDigests) {
      mByDigest.emplace(digest, &workspace);
    }
  }
}

const RoutedWorkspace*
WorkspaceTable::Find(const std::string& aKeyDigest) const
{
  const auto it = mByDigest.find(aKeyDigest);
  return it == mByDigest.end() ? nullptr : it->second;
}

} // namespace heatherfork::detail
