#include "prefix_cache.h"

#include <string_view>

#include <xxhash.h>

namespace heatherfork::stand_in {

namespace {

constexpr std::size_t kBlockBytes = 1024;
constexpr std::size_t kMaxEvents = 10000;

std::uint64_t
Hash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::vector<std::uint64_t>
PrefixesOf(std::uint64_t aScope, std::string_view aPrompt)
{
  std::vector<std::uint64_t> prefixes;
  std::uint64_t hash = aScope;
  for (std::size_t offset = 0; offset + kBlockBytes <= aPrompt.size();
       offset += kBlockBytes) {
    hash = Hash(aPrompt.substr(offset, kBlockBytes), hash);
    prefixes.push_back(hash);
  }
  return prefixes;
}

} // namespace

std::uint64_t
ScopeOf(const std::string& aModel, const std::string& aAdapter)
{
  return Hash(aAdapter, Hash(aModel, 0));
}

PrefixCache::PrefixCache(PrefixCacheOptions aOptions)
  : mOptions(aOptions)
{
}

std::size_t
PrefixCache::LookUpAndInsert(std::uint64_t aScope,
                             const std::string& aPrompt,
                             Instant aNow)
{
  const auto prefixes = PrefixesOf(aScope, aPrompt);
  std::size_t cached = 0;
  while (cached < prefixes.size() && mIndex.contains(prefixes[cached])) {
    ++cached;
  }
  for (const auto prefix : prefixes) {
    Touch(prefix, aNow);
  }
  return cached * kBlockBytes;
}

std::vector<CacheEvent>
PrefixCache::Events(std::uint64_t aAfter, Instant aNow) const
{
  std::vector<CacheEvent> events;
  for (const auto& event : mEvents) {
    if (event.mSequence > aAfter && event.mVisibleAt <= aNow) {
      events.push_back(event);
    }
  }
  return events;
}

void
PrefixCache::Touch(std::uint64_t aPrefix, Instant aNow)
{
  const auto it = mIndex.find(aPrefix);
  if (it != mIndex.end()) {
    mLruOrder.splice(mLruOrder.end(), mLruOrder, it->second);
    return;
  }
  if (mIndex.size() >= mOptions.mMaxBlocks) {
    EvictOldest(aNow);
  }
  mIndex[aPrefix] = mLruOrder.insert(mLruOrder.end(), aPrefix);
  AddEvent(true, aPrefix, aNow);
}

void
PrefixCache::EvictOldest(Instant aNow)
{
  const auto oldest = mLruOrder.front();
  mLruOrder.pop_front();
  mIndex.erase(oldest);
  AddEvent(false, oldest, aNow);
}

void
PrefixCache::AddEvent(bool aIsStored, std::uint64_t aPrefix, Instant aNow)
{
  ++mSequence;
  if (mOptions.mDropEvery != 0 && mSequence % mOptions.mDropEvery == 0) {
    return;
  }
  mEvents.push_back(
    { mSequence, aIsStored, aPrefix, aNow + mOptions.mEventLag });
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

} // namespace heatherfork::stand_in
