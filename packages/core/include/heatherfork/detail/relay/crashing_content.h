#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

#include "heatherfork/detail/relay/recent_content.h"
#include "heatherfork/peer_message.h"
#include "heatherfork/time.h"

/// Content of requests that may crash the replicas which run it.
namespace heatherfork::detail {

/// Content of one request, sorted.
using Contents = std::vector<ContentId>;

/// Explains crashes by content that was running at each of them. Keeps the
/// evidence, what ran and what was answered, and derives from it what is
/// refused, so that new evidence also clears content. Nodes merge their records
/// and so refuse the same.
class CrashingContent
{
public:
  /// Requests that contain all of mContents are refused: nothing distinguishes
  /// which of it is the cause.
  struct Refusal
  {
    Contents mContents;
    Instant mUntil{};
  };

  /// Merges a record of a crash. Update applies it.
  void OnCrash(Instant aNow, const CrashRecord& aRecord);

  /// Clears content that was answered completely, here or at another node, of
  /// the known crashes. Returns whether it was running at one of them. Update
  /// applies it.
  bool OnSound(ContentId aContent, bool aIsWholeRequest);

  /// Derives what is refused from the evidence, if that has changed. Returns
  /// whether content is refused that was not before.
  bool Update();

  /// Whether Update has something to do.
  bool IsStale() const { return mIsStale || mIsNewlyRefused; }

  /// Whether the content was running, and not answered since, at a crash that
  /// no refused content explains.
  bool IsSuspect(ContentId aContent) const
  {
    return mSuspects.contains(aContent);
  }

  /// Equal for content that explains the same crashes as well, so that only
  /// runs one at a time show which is the cause; empty for other content.
  std::optional<ContentId> RivalryOf(const Contents& aContents) const;

  /// Time until a request with this content is accepted; empty if it is.
  std::optional<Duration> RefusedFor(Instant aNow,
                                     const Contents& aContents) const;

  const std::vector<Refusal>& Refusals() const { return mRefusals; }

  std::vector<CrashRecord> Records(Instant aNow) const;

  /// The records, in brief.
  std::vector<KnownCrash> Known() const;

  /// Records that aKnown lacks, or has in another version.
  std::vector<CrashRecord> RecordsBeside(
    Instant aNow,
    const std::vector<KnownCrash>& aKnown) const;

  /// Whether aKnown lists crashes that are not known here.
  bool LacksAny(const std::vector<KnownCrash>& aKnown) const;

  void DropExpired(Instant aNow);

private:
  using CrashId = std::uint64_t;

  struct Crash
  {
    Instant mAt{};
    std::map<ContentId, CrashedRequest> mRequests; ///< By fingerprint.
    std::set<ContentId> mSound;
    std::optional<std::size_t> mExplainedBy; ///< Index of the refusal.

    /// Content of a request without what was answered.
    Contents OpenContents(const CrashedRequest& aRequest) const;
    bool HasRequestWith(const Contents& aContents) const;
    CrashRecord Record(CrashId aCrash, Instant aNow) const;
    std::uint64_t Digest() const;
  };

  /// What the unexplained crashes show of one content.
  struct Suspicion
  {
    std::set<CrashId> mCrashes; ///< All during which it was running.
    int mCount = 0;             ///< Of crashes at different moments.
    int mAloneCount = 0;        ///< Of crashes while it ran once at a time.
    Instant mCountedAt{};
    Contents mTogether; ///< Content of each request that contained it.
    bool mIsWholeRequest = false;
    bool mWasSound = false;
  };
  using Suspicions = std::map<ContentId, Suspicion>;

  void Refresh();
  void Derive();
  void IndexSuspects();
  Suspicions Suspect() const;
  std::optional<Refusal> Explain();
  Contents RivalsOf(const Suspicions& aSuspicions, ContentId aContent) const;
  void DropOne();
  bool WasSound(ContentId aContent) const
  {
    return mSoundParts.Contains(aContent) || mSoundRequests.Contains(aContent);
  }

  std::map<CrashId, Crash> mCrashes;
  // Apart, as whole requests would displace the parts that many share.
  RecentContent mSoundParts;
  RecentContent mSoundRequests;

  // Derived from the evidence.
  std::vector<Refusal> mRefusals;
  std::unordered_set<ContentId> mSuspects;
  std::map<ContentId, ContentId> mRivalries; ///< By content.
  bool mIsStale = false;
  bool mIsNewlyRefused = false; ///< Since the last Update.

  /// Was running at a known crash and not answered since.
  std::unordered_set<ContentId> mOpen;
};

} // namespace heatherfork::detail
