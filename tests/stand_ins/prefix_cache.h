#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "attempt_table.h"

/// Simulated prefix cache of a prefill engine.
namespace heatherfork::stand_in {

/// Hashes a model and an adapter to the scope of their prefixes.
std::uint64_t
ScopeOf(const std::string& aModel, const std::string& aAdapter);

/// Size of the cache, and delay and losses of its event feed.
struct PrefixCacheOptions
{
  std::size_t mMaxBlocks = 4096;
  milliseconds mEventLag{ 200 };
  std::uint64_t mDropEvery = 0; ///< Every nth event is lost; 0 for none.
};

/// An insertion into the cache or an eviction from it.
struct CacheEvent
{
  std::uint64_t mSequence = 0;
  bool mIsStored = false;
  std::uint64_t mPrefix = 0;
  Instant mVisibleAt{};
};

/// LRU cache of prompt prefixes. A prefix is identified by the chained hash of
/// its blocks.
class PrefixCache
{
public:
  explicit PrefixCache(PrefixCacheOptions aOptions);

  /// Returns the length in bytes of the cached prefix of the prompt, then
  /// inserts all its full blocks. Prompts of different scopes share no prefix.
  std::size_t LookUpAndInsert(std::uint64_t aScope,
                              const std::string& aPrompt,
                              Instant aNow);

  /// Returns the visible events after a sequence number.
  std::vector<CacheEvent> Events(std::uint64_t aAfter, Instant aNow) const;

private:
  void Touch(std::uint64_t aPrefix, Instant aNow);
  void EvictOldest(Instant aNow);
  void AddEvent(bool aIsStored, std::uint64_t aPrefix, Instant aNow);

  PrefixCacheOptions mOptions;
  std::list<std::uint64_t> mLruOrder; ///< Least recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mIndex;
  std::uint64_t mSequence = 0;
  std::deque<CacheEvent> mEvents;
};

} // namespace heatherfork::stand_in
