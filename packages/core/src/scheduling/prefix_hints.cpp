#include "heatherfork/detail/scheduling/prefix_hints.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

constexpr int kMaxBlockTokens = 512;
constexpr std::size_t kMaxServersPerHint = 8;
constexpr std::size_t kMaxPrefixLevels = 3;
constexpr double kTrustDecrease = 0.95;
constexpr double kTrustIncrease = 1.02;
constexpr double kMinTrust = 0.05;

} // namespace

PrefixHints::PrefixHints(std::size_t aMaxHints)
  : mMaxHints(aMaxHints)
{
}

void
PrefixHints::Learn(Instant aNow,
                   const ServerName& aServer,
                   const std::vector<std::uint64_t>& aPrefixes)
{
  for (const std::uint64_t prefix : aPrefixes) {
    Record(aNow, aServer, prefix);
  }
}

void
PrefixHints::Learn(bool aHintWasRight)
{
  mTrust *= aHintWasRight ? kTrustIncrease : kTrustDecrease;
  mTrust = std::clamp(mTrust, kMinTrust, 1.0);
}

void
PrefixHints::Record(Instant aNow,
                    const ServerName& aServer,
                    std::uint64_t aPrefix)
{
  const auto [it, isNew] = mHints.try_emplace(aPrefix);
  Hint& hint = it->second;
  const auto entry =
    std::find_if(hint.begin(), hint.end(), [&](const HintEntry& aEntry) {
      return aEntry.mServer == aServer;
    });
  if (entry != hint.end()) {
    entry->mSeenAt = aNow;
  } else if (hint.size() < kMaxServersPerHint) {
    hint.push_back({ aServer, aNow });
  } else {
    *std::min_element(hint.begin(),
                      hint.end(),
                      [](const HintEntry& aOne, const HintEntry& aTwo) {
                        return aOne.mSeenAt < aTwo.mSeenAt;
                      }) = { aServer, aNow };
  }
  if (!isNew) {
    return;
  }
  mInsertionOrder.push_back(aPrefix);
  if (mInsertionOrder.size() > mMaxHints) {
    mHints.erase(mInsertionOrder.front());
    mInsertionOrder.pop_front();
  }
}

// A server that has cached a prefix has also cached all shorter ones, so binary
// search finds the longest known prefix.
std::vector<CachedPrefix>
PrefixHints::Find(Instant aNow,
                  Duration aLifetime,
                  const std::vector<std::uint64_t>& aPrefixes,
                  int aPromptTokens) const
{
  const auto known = std::partition_point(
    aPrefixes.begin(), aPrefixes.end(), [&](std::uint64_t aPrefix) {
      return mHints.contains(aPrefix);
    });
  const auto count = static_cast<std::size_t>(known - aPrefixes.begin());
  const auto trusted = static_cast<double>(aLifetime.count()) * mTrust;
  const Duration lifetime(static_cast<std::int64_t>(trusted));
  std::vector<CachedPrefix> found;
  for (std::size_t n = 0; n < std::min(count, kMaxPrefixLevels); ++n) {
    const std::size_t level = count - n;
    const int blockTokens = std::min(
      aPromptTokens / static_cast<int>(aPrefixes.size()), kMaxBlockTokens);
    const int tokens = static_cast<int>(level) * blockTokens;
    for (const HintEntry& entry : mHints.at(aPrefixes[level - 1])) {
      const bool isListed = std::any_of(
        found.begin(), found.end(), [&](const CachedPrefix& aCached) {
          return aCached.mServer == entry.mServer;
        });
      if (!isListed && aNow - entry.mSeenAt <= lifetime) {
        found.push_back({ entry.mServer, tokens });
      }
    }
  }
  return found;
}

} // namespace heatherfork::detail
