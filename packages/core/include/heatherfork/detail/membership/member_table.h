#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "heatherfork/member.h"
#include "heatherfork/time.h"

/// Table of all known members.
namespace heatherfork::detail {

inline constexpr std::size_t kSyncBuckets = 64;

using BucketDigests = std::array<std::uint64_t, kSyncBuckets>;

/// True when aUpdate replaces aKnown, a record of the same name. Strict order
/// by generation, incarnation, epoch, death, version, status.
bool
Supersedes(const Member& aUpdate, const Member& aKnown);

/// A record before and after an update.
struct MemberChange
{
  std::optional<Member> mBefore;
  Member mAfter;
};

/// Holds one record per name, the queue of updates to gossip, and digests for
/// comparing tables. Ordered by name.
class MemberTable
{
public:
  /// Stores the update if it supersedes the known record. Ignores deaths of
  /// unknown nodes and, when the table is full, new names.
  std::optional<MemberChange> Merge(const Member& aUpdate,
                                    Instant aNow,
                                    std::size_t aMaxMembers);

  const Member* Find(const NodeName& aName) const;
  Instant ChangedAt(const NodeName& aName) const;

  /// Sets the change time of all members with this status to aNow.
  void ResetChangeTimes(MemberStatus aStatus, Instant aNow);

  /// Removes dead members that changed before aBefore.
  void EvictDead(Instant aBefore);

  Members All() const;
  std::vector<NodeName> WithStatus(MemberStatus aStatus) const;
  std::size_t Size() const { return mEntries.size(); }

  /// Queues the record of aName for the next aTransmits messages.
  void Announce(const NodeName& aName, int aTransmits);
  bool HasSuspects() const { return mSuspectCount > 0; }
  bool HasUpdates() const { return !mPendingUpdates.empty(); }

  /// Up to aMax queued records, most recently queued first. Counts as one
  /// transmission of each.
  Members TakeUpdates(int aMax);

  /// Digest over all members that are not dead. Suspects count as alive.
  std::uint64_t Digest() const;
  const BucketDigests& Buckets() const { return mBuckets; }
  Members InBuckets(const std::vector<std::uint32_t>& aBuckets) const;

private:
  struct Entry
  {
    Member mMember;
    Instant mChangedAt{};
    int mTransmitsLeft = 0;
  };

  void ToggleDigest(const Member& aMember);
  void CountSuspects(const Member& aMember, int aDelta);

  std::map<NodeName, Entry> mEntries;
  std::deque<NodeName> mPendingUpdates;
  BucketDigests mBuckets{};
  int mSuspectCount = 0;
};

} // namespace heatherfork::detail
