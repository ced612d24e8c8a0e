#include <algorithm>
#include <map>
#include <set>

#include "heatherfork/detail/relay/finding_list.h"

namespace heatherfork::detail {

namespace {

std::string
TextOf(double aNumber)
{
  std::string text = std::to_string(aNumber);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

void
CheckQuota(const WorkspaceQuota& aQuota, FindingList& aFindings)
{
  if (aQuota.mRate < 0 || aQuota.mBurst < 0) {
    aFindings.Error("its quota is below 0");
    return;
  }
  const std::string burst = "a burst of " + TextOf(aQuota.mBurst);
  if (aQuota.mRate == 0) {
    if (aQuota.mBurst > 0) {
      aFindings.Warn(burst + " has no effect: its rate is 0, so no limit");
    }
    return;
  }
  const bool isOfTokens = aQuota.mUnit == QuotaUnit::kTokens;
  const double least = isOfTokens ? aQuota.mPlainTokens : 1;
  if (aQuota.mBurst < least) {
    aFindings.Warn(burst + (isOfTokens ? " tokens" : "") +
                   " is less than one request" +
                   (isOfTokens ? ", which counts as " + TextOf(least) : ""));
  }
}

void
CheckKeys(const RoutedWorkspace& aWorkspace,
          std::map<std::string, const RoutedWorkspace*>& aOwners,
          FindingList& aFindings)
{
  if (aWorkspace.mKeyDigests.empty()) {
    aFindings.Warn("without keys nobody can use it");
  }
  for (const std::string& digest : aWorkspace.mKeyDigests) {
    const auto [it, isNew] = aOwners.try_emplace(digest, &aWorkspace);
    if (isNew) {
      continue;
    }
    if (it->second == &aWorkspace) {
      aFindings.Warn("a key is listed twice");
    } else {
      aFindings.Error("a key is also a key of workspace \"" +
                      it->second->mName.mValue + "\"");
    }
  }
}

} // namespace

void
CheckWorkspaces(const Routing& aRouting, FindingList& aFindings)
{
  std::map<std::string, const RoutedWorkspace*> owners;
  std::set<WorkspaceName> names;
  for (const RoutedWorkspace& workspace : aRouting.mWorkspaces) {
    aFindings.SetPart("workspace", workspace.mName.mValue);
    if (!names.insert(workspace.mName).second) {
      aFindings.Error("its name is used twice");
    }
    if (workspace.mRank.value_or(0) < 0) {
      aFindings.Error("its priority " + std::to_string(*workspace.mRank) +
                      " is below 0");
    }
    CheckKeys(workspace, owners, aFindings);
    CheckQuota(workspace.mQuota, aFindings);
  }
  const bool hasAnonymous =
    std::any_of(aRouting.mRoutes.begin(),
                aRouting.mRoutes.end(),
                [](const Route& aRoute) { return aRoute.mIsAnonymous; });
  if (aRouting.mNeedsKeys && aRouting.mWorkspaces.empty() && !hasAnonymous) {
    aFindings.SetPart("workspaces");
    aFindings.Error("keys are needed, but there is no workspace");
  }
}

} // namespace heatherfork::detail
