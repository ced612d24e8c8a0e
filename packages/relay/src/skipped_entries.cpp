#include "heatherfork/detail/relay/skipped_entries.h"

#include "heatherfork/detail/hash.h"

namespace heatherfork::relay {

bool
SkippedEntries::Add(std::string_view aKey)
{
  return mHashes.size() < mMaxEntries &&
         mHashes.insert(detail::Hash(aKey)).second;
}

void
SkippedEntries::Remove(std::string_view aKey)
{
  mHashes.erase(detail::Hash(aKey));
}

} // namespace heatherfork::relay
