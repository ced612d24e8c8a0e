#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "heatherfork/peer_message.h"
#include "heatherfork/time.h"

/// Content of requests that may crash the replicas which run it.
namespace heatherfork::detail {

/// A prompt part, by its id, or a whole request, by its fingerprint.
using ContentId = std::uint64_t;

/// Counts the crashes during which content was running. A complete answer
/// clears its content; content of several crashes without one is refused.
class CrashingContent
{
public:
  /// Records what was running at a crash; aRanAlone are those contents that
  /// ran once at a time. Reports of one crash have the same id. Returns the
  /// content that is refused from now on.
  std::vector<ContentId> OnCrash(Instant aNow,
                                 std::uint64_t aCrash,
                                 const std::vector<ContentId>& aContents,
                                 const std::vector<ContentId>& aRanAlone = {});

  /// Clears content that was answered completely, here or at another node.
  /// Returns whether it was a suspect.
  bool OnSound(ContentId aContent);

  /// Adopts another node's refusal, unless the content was answered before and
  /// few crashes are known. Returns false if it is known to be sound.
  bool OnRefused(Instant aNow, const RefusedContent& aRefused);

  /// Whether the content was running at a crash since its last answer.
  bool IsSuspect(ContentId aContent) const
  {
    return mSuspects.contains(aContent);
  }

  /// Time until the content is accepted again; empty if it is.
  std::optional<Duration> RefusedFor(Instant aNow, ContentId aContent) const;

  std::vector<RefusedContent> AllRefused(Instant aNow) const;

  void DropExpired(Instant aNow);

private:
  struct Suspect
  {
    std::set<std::uint64_t> mCrashes;
    int mCount = 0;      ///< Of crashes at different moments.
    int mAloneCount = 0; ///< Of crashes while it ran once at a time.
    Instant mLastCounted{};
    Instant mRefusedUntil{};
  };

  Suspect& FindOrAdd(ContentId aContent);
  bool WasSound(ContentId aContent) const;

  std::unordered_map<ContentId, Suspect> mSuspects;
  // Two generations, so that old entries go without a time for each.
  std::unordered_set<ContentId> mSound;
  std::unordered_set<ContentId> mSoundBefore;
};

} // namespace heatherfork::detail
