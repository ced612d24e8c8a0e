#pragma once

#include <cstdint>
#include <list>
#include <map>

/// Prefix cache of a simulated prefill engine.
namespace heatherfork::bench {

/// LRU cache of prefixes, limited by their total number of tokens.
class PrefixCache
{
public:
  explicit PrefixCache(int aMaxTokens)
    : mMaxTokens(aMaxTokens)
  {
  }

  bool Contains(int aPrefix) const { return mEntries.contains(aPrefix); }
  void Use(int aPrefix, int aTokens);
  void Clear();

private:
  struct Entry
  {
    int mTokens = 0;
    std::list<int>::iterator mPosition;
  };

  int mMaxTokens;
  int mTokens = 0;
  std::list<int> mByLastUse; ///< Most recently used first.
  std::map<int, Entry> mEntries;
};

} // namespace heatherfork::bench
