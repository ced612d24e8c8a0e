#include "prefix_cache.h"

namespace heatherfork::bench {

void
PrefixCache::Use(int aPrefix, int aTokens)
{
  const auto it = mEntries.find(aPrefix);
  if (it != mEntries.end()) {
    mByLastUse.splice(mByLastUse.begin(), mByLastUse, it->second.mPosition);
    return;
  }
  mByLastUse.push_front(aPrefix);
  mEntries[aPrefix] = { aTokens, mByLastUse.begin() };
  mTokens += aTokens;
  while (mTokens > mMaxTokens) {
    mTokens -= mEntries[mByLastUse.back()].mTokens;
    mEntries.erase(mByLastUse.back());
    mByLastUse.pop_back();
  }
}

void
PrefixCache::Clear()
{
  mTokens = 0;
  mByLastUse.clear();
  mEntries.clear();
}

} // namespace heatherfork::bench
