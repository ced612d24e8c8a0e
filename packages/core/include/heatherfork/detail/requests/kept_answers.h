#pragma once

#include <map>
#include <set>
#include <utility>

#include "heatherfork/detail/requests/key_records.h"
#include "heatherfork/request.h"

/// Answers of repeatable requests that callers may fetch by key.
namespace heatherfork::detail {

/// A bounded table of answers; the oldest go first.
class KeptAnswers
{
public:
  /// One answer and the request that it belongs to.
  struct Kept
  {
    std::uint64_t mFingerprint = 0;
    Instant mExpires{};
    Answer mAnswer;
  };

  /// The answer kept for a key; null when there is none.
  const Kept* Find(const WorkspaceKey& aKey) const;

  /// Keeps an answer, dropping the one that expires first when full.
  void Keep(const WorkspaceKey& aKey, Kept aKept, std::size_t aMaxAnswers);

  void DropExpired(Instant aNow);

private:
  void Erase(const WorkspaceKey& aKey);

  std::map<WorkspaceKey, Kept> mKept;
  std::set<std::pair<Instant, WorkspaceKey>> mByExpiry;
};

} // namespace heatherfork::detail
