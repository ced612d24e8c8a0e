#include "heatherfork/detail/relay/workspace_labels.h"

#include <algorithm>
#include <utility>

namespace heatherfork::relay {

namespace {

constexpr const char* kCommonLabel = "other";

// A label changes hands only if its new owner has twice the requests, so that
// two workspaces of about the same size don't take it from each other.
constexpr std::uint64_t kReplaceFactor = 2;

// Workspaces come and go with versions of the configuration.
constexpr std::size_t kMaxCounts = 8192;

} // namespace

WorkspaceLabels::WorkspaceLabels(std::size_t aMostLabels)
  : mMostLabels(aMostLabels)
{
}

WorkspaceLabels::Change
WorkspaceLabels::Count(const WorkspaceName& aWorkspace)
{
  if (mCounts.size() >= kMaxCounts && !mCounts.contains(aWorkspace)) {
    return { kCommonLabel, {} };
  }
  const std::uint64_t count = ++mCounts[aWorkspace];
  if (mLabelled.contains(aWorkspace)) {
    return { aWorkspace.mValue, {} };
  }
  if (mLabelled.size() < mMostLabels) {
    mLabelled.insert(aWorkspace);
    return { aWorkspace.mValue, {} };
  }
  const auto smallest =
    std::min_element(mLabelled.begin(),
                     mLabelled.end(),
                     [this](const auto& aOne, const auto& aTwo) {
                       return mCounts.at(aOne) < mCounts.at(aTwo);
                     });
  if (smallest == mLabelled.end() ||
      count <= kReplaceFactor * mCounts.at(*smallest)) {
    return { kCommonLabel, {} };
  }
  WorkspaceName replaced = std::move(mLabelled.extract(smallest).value());
  mLabelled.insert(aWorkspace);
  return { aWorkspace.mValue, std::move(replaced) };
}

} // namespace heatherfork::relay
