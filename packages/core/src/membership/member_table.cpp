#include "heatherfork/detail/membership/member_table.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace heatherfork::detail {

namespace {

// At equal versions the worse status wins, so an older alive update cannot
// undo a suspicion. The suspect refutes it with a higher version.
int
StatusRank(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::kAlive:
      return 0;
    case MemberStatus::kLeaving:
      return 1;
    case MemberStatus::kSuspect:
      return 2;
    case MemberStatus::kDead:
      return 3;
  }
  return 3;
}

std::uint32_t
BucketOf(const NodeName& aName)
{
  const std::string& name = aName.mValue;
  return XXH3_64bits(name.data(), name.size()) % kSyncBuckets;
}

std::uint64_t
DigestOf(const Member& aMember)
{
  const std::string text = absl::StrCat(aMember.mNode.mName.mValue,
                                        "/",
                                        aMember.mNode.mIncarnation,
                                        "/",
                                        aMember.mGeneration,
                                        "/",
                                        aMember.mEpoch,
                                        "/",
                                        aMember.mVersion);
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

// Within one epoch, death supersedes every other update. A node can return
// only with a higher epoch, so it knows that others acted on its death.
bool
Supersedes(const Member& aUpdate, const Member& aKnown)
{
  const auto order = [](const Member& aMember) {
    return std::tuple(aMember.mGeneration,
                      aMember.mNode.mIncarnation,
                      aMember.mEpoch,
                      aMember.mStatus == MemberStatus::kDead,
                      aMember.mVersion,
                      StatusRank(aMember.mStatus));
  };
  return order(aUpdate) > order(aKnown);
}

std::optional<MemberChange>
MemberTable::Merge(const Member& aUpdate, Instant aNow, std::size_t aMaxMembers)
{
  const auto it = mEntries.find(aUpdate.mNode.mName);
  if (it == mEntries.end()) {
    // Storing tombstones of unknown nodes would let them circulate forever,
    // because each node restarts their retention time.
    if (aUpdate.mStatus == MemberStatus::kDead || Size() >= aMaxMembers) {
      return std::nullopt;
    }
    mEntries.emplace(aUpdate.mNode.mName, Entry{ aUpdate, aNow });
    ToggleDigest(aUpdate);
    CountSuspects(aUpdate, 1);
    return MemberChange{ std::nullopt, aUpdate };
  }
  Entry& entry = it->second;
  if (!Supersedes(aUpdate, entry.mMember)) {
    return std::nullopt;
  }
  MemberChange change{ entry.mMember, aUpdate };
  ToggleDigest(entry.mMember);
  ToggleDigest(aUpdate);
  CountSuspects(entry.mMember, -1);
  CountSuspects(aUpdate, 1);
  entry.mMember = aUpdate;
  entry.mChangedAt = aNow;
  return change;
}

const Member*
MemberTable::Find(const NodeName& aName) const
{
  const auto it = mEntries.find(aName);
  return it == mEntries.end() ? nullptr : &it->second.mMember;
}

Instant
MemberTable::ChangedAt(const NodeName& aName) const
{
  const auto it = mEntries.find(aName);
  return it == mEntries.end() ? Instant{} : it->second.mChangedAt;
}

void
MemberTable::ResetChangeTimes(MemberStatus aStatus, Instant aNow)
{
  for (auto& [name, entry] : mEntries) {
    if (entry.mMember.mStatus == aStatus) {
      entry.mChangedAt = aNow;
    }
  }
}

void
MemberTable::EvictDead(Instant aBefore)
{
  std::erase_if(mEntries, [aBefore](const auto& aItem) {
    const Entry& entry = aItem.second;
    return entry.mMember.mStatus == MemberStatus::kDead &&
           entry.mChangedAt < aBefore;
  });
}

Members
MemberTable::All() const
{
  Members members;
  members.reserve(mEntries.size());
  for (const auto& [name, entry] : mEntries) {
    members.push_back(entry.mMember);
  }
  return members;
}

std::vector<NodeName>
MemberTable::WithStatus(MemberStatus aStatus) const
{
  std::vector<NodeName> names;
  for (const auto& [name, entry] : mEntries) {
    if (entry.mMember.mStatus == aStatus) {
      names.push_back(name);
    }
  }
  return names;
}

void
MemberTable::Announce(const NodeName& aName, int aTransmits)
{
  const auto it = mEntries.find(aName);
  if (it == mEntries.end()) {
    return;
  }
  if (it->second.mTransmitsLeft == 0) {
    mPendingUpdates.push_front(aName);
  }
  it->second.mTransmitsLeft = aTransmits;
}

Members
MemberTable::TakeUpdates(int aMax)
{
  Members updates;
  const std::size_t count =
    std::min(mPendingUpdates.size(), static_cast<std::size_t>(aMax));
  for (std::size_t i = 0; i < count; ++i) {
    const NodeName name = std::move(mPendingUpdates.front());
    mPendingUpdates.pop_front();
    const auto it = mEntries.find(name);
    if (it == mEntries.end()) {
      continue;
    }
    updates.push_back(it->second.mMember);
    if (--it->second.mTransmitsLeft > 0) {
      mPendingUpdates.push_back(name);
    }
  }
  return updates;
}

std::uint64_t
MemberTable::Digest() const
{
  std::uint64_t digest = 0;
  for (const std::uint64_t bucket : mBuckets) {
    digest ^= bucket;
  }
  return digest;
}

Members
MemberTable::InBuckets(const std::vector<std::uint32_t>& aBuckets) const
{
  Members members;
  for (const auto& [name, entry] : mEntries) {
    const std::uint32_t bucket = BucketOf(name);
    if (std::find(aBuckets.begin(), aBuckets.end(), bucket) != aBuckets.end()) {
      members.push_back(entry.mMember);
    }
  }
  return members;
}

void
MemberTable::ToggleDigest(const Member& aMember)
{
  if (aMember.mStatus != MemberStatus::kDead) {
    mBuckets[BucketOf(aMember.mNode.mName)] ^= DigestOf(aMember);
  }
}

void
MemberTable::CountSuspects(const Member& aMember, int aDelta)
{
  mSuspectCount += aMember.mStatus == MemberStatus::kSuspect ? aDelta : 0;
}

} // namespace heatherfork::detail
