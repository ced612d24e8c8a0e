#include "heatherfork/configuration.h"

#include <algorithm>

namespace heatherfork {

namespace {

template<class Item, class Predicate>
const Item*
FindIn(const std::vector<Item>& aItems, Predicate aPredicate)
{
  const auto it = std::find_if(aItems.begin(), aItems.end(), aPredicate);
  return it == aItems.end() ? nullptr : &*it;
}

template<class Item, class ItemName>
const Item*
FindNamed(const std::vector<Item>& aItems, const ItemName& aName)
{
  return FindIn(aItems,
                [&aName](const Item& aItem) { return aItem.mName == aName; });
}

} // namespace

const WorkClass*
FindClass(const Configuration& aConfiguration, const ClassName& aName)
{
  return FindNamed(aConfiguration.mClasses, aName);
}

const Model*
FindModel(const Configuration& aConfiguration, const ModelName& aName)
{
  return FindNamed(aConfiguration.mModels, aName);
}

const Workspace*
FindWorkspace(const Configuration& aConfiguration, const WorkspaceName& aName)
{
  return FindNamed(aConfiguration.mWorkspaces, aName);
}

const ServiceCall*
FindCall(const Configuration& aConfiguration,
         const ServiceName& aService,
         const std::string& aCall)
{
  return FindIn(aConfiguration.mCalls, [&](const ServiceCall& aItem) {
    return aItem.mService == aService && aItem.mCall == aCall;
  });
}

const BackendServer*
FindServer(const Configuration& aConfiguration, const ServerName& aName)
{
  for (const Pool& pool : aConfiguration.mPools) {
    if (const BackendServer* server = FindNamed(pool.mServers, aName)) {
      return server;
    }
  }
  return nullptr;
}

} // namespace heatherfork
