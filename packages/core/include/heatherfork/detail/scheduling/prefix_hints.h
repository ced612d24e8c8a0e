#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// Tracks which servers may have the prefix of a prompt in their cache.
namespace heatherfork::detail {

/// Prompt tokens that one server may have cached.
struct CachedPrefix
{
  ServerName mServer;
  int mTokens = 0;
};

/// Cache hints from completed prefills. Hints expire, and correctness never
/// depends on them.
class PrefixHints
{
public:
  explicit PrefixHints(std::size_t aMaxHints = 20000);

  /// Records the prefixes of a prompt whose prefill has ended on a server.
  void Learn(Instant aNow,
             const ServerName& aServer,
             const std::vector<std::uint64_t>& aPrefixes);

  /// Adjusts the trust in hints after one was used.
  void Learn(bool aHintWasRight);

  /// Returns the servers with the longest cached prefixes.
  std::vector<CachedPrefix> Find(Instant aNow,
                                 Duration aLifetime,
                                 const std::vector<std::uint64_t>& aPrefixes,
                                 int aPromptTokens) const;

private:
  struct HintEntry
  {
    ServerName mServer;
    Instant mSeenAt{};
  };
  using Hint = std::vector<HintEntry>;

  void Record(Instant aNow, const ServerName& aServer, std::uint64_t aPrefix);

  std::size_t mMaxHints;
  double mTrust = 1; ///< Fraction of the lifetime during which a hint is used.
  absl::flat_hash_map<std::uint64_t, Hint> mHints;
  std::deque<std::uint64_t> mInsertionOrder;
};

} // namespace heatherfork::detail
