#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "heatherfork/ids.h"

/// Names of workspaces as labels of metrics.
namespace heatherfork::relay {

/// Gives the workspaces with the most requests a label of their own, and all
/// others a common one. Does no I/O.
class WorkspaceLabels
{
public:
  /// What one request changes.
  struct Change
  {
    std::string mLabel;
    WorkspaceName mReplaced; ///< Has lost its own label; empty: none.
    auto operator<=>(const Change&) const = default;
  };

  explicit WorkspaceLabels(std::size_t aMostLabels);

  /// Counts a request. Returns its label; "other" is the common one.
  Change Count(const WorkspaceName& aWorkspace);

private:
  std::size_t mMostLabels;
  std::map<WorkspaceName, std::uint64_t> mCounts;
  std::set<WorkspaceName> mLabelled;
};

} // namespace heatherfork::relay
