#pragma once

#include <map>
#include <set>
#include <utility>

#include "heatherfork/detail/requests/key_records.h"
#include "heatherfork/request.h"

/// Retained answers of repeatable requests, by request key.
namespace heatherfork::detail {

/// A bounded table of answers. When it is full, the answer that expires first
/// is evicted.
class KeptAnswers
{
public:
  /// An answer and the fingerprint of its request.
  struct Entry
  {
    std::uint64_t mFingerprint = 0;
    Instant mExpires{};
    Answer mAnswer;
  };

  /// The answer of a key, or null.
  const Entry* Find(const WorkspaceKey& aKey) const;

  /// Stores an answer and replaces an earlier one of the same key. Does nothing
  /// if `aMaxAnswers` is 0.
  void Keep(const WorkspaceKey& aKey, Entry aEntry, std::size_t aMaxAnswers);

  void DropExpired(Instant aNow);

private:
  void Erase(const WorkspaceKey& aKey);

  std::map<WorkspaceKey, Entry> mEntries;
  std::set<std::pair<Instant, WorkspaceKey>> mByExpiry;
};

} // namespace heatherfork::detail
