#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>

/// Entries of the store that are of no use to this node.
namespace heatherfork::relay {

/// Remembers which entries have been logged. Does not hold their keys, of which
/// other writers may make any number.
class SkippedEntries
{
public:
  explicit SkippedEntries(std::size_t aMaxEntries)
    : mMaxEntries(aMaxEntries)
  {
  }

  /// Returns whether to log the entry: it is new, and not too many are known.
  bool Add(std::string_view aKey);

  /// Forgets an entry that is gone or of use now.
  void Remove(std::string_view aKey);

private:
  std::size_t mMaxEntries;
  std::set<std::uint64_t> mHashes; ///< Of the keys.
};

} // namespace heatherfork::relay
