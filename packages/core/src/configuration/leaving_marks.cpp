#include "heatherfork/detail/configuration/leaving_marks.h"

#include <utility>

namespace heatherfork::detail {

bool
LeavingMarks::On(const VmListRead& aList)
{
  std::set<std::string> leaving;
  for (const VmRecord& vm : aList.mVms) {
    if (vm.mRole == VmRole::kBackend && vm.mLeaving) {
      leaving.insert(vm.mName);
    }
  }
  const bool hasChanged = leaving != mLeaving;
  mLeaving = std::move(leaving);
  return hasChanged;
}

ConfigurationPtr
LeavingMarks::Apply(const ConfigurationPtr& aPublished) const
{
  if (aPublished == nullptr || mLeaving.empty()) {
    return aPublished;
  }
  auto marked = std::make_shared<Configuration>(*aPublished);
  bool isModified = false;
  for (Pool& pool : marked->mPools) {
    for (BackendServer& server : pool.mServers) {
      const bool isLeaving = mLeaving.contains(server.mName.mValue);
      isModified = isModified || (isLeaving && !server.mLeaving);
      server.mLeaving = server.mLeaving || isLeaving;
    }
  }
  return isModified ? ConfigurationPtr(std::move(marked)) : aPublished;
}

} // namespace heatherfork::detail
