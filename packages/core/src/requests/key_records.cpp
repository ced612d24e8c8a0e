#include "heatherfork/detail/requests/key_records.h"

#include "heatherfork/detail/hash.h"

namespace heatherfork::detail {

namespace {

// Tombstones store only a hash, to save memory. If two keys collide, a new
// request is refused, and the outcome "not run" is correct for it.
std::uint64_t
HashOf(const WorkspaceKey& aKey)
{
  return Hash(aKey.mKey.mValue, Hash(aKey.mWorkspace.mValue));
}

} // namespace

const KeyRecord*
KeyRecords::Find(const WorkspaceKey& aKey) const
{
  const auto it = mRecords.find(aKey);
  return it == mRecords.end() ? nullptr : &it->second;
}

bool
KeyRecords::HasTombstone(const WorkspaceKey& aKey) const
{
  return mTombstones.contains(HashOf(aKey));
}

bool
KeyRecords::Open(const WorkspaceKey& aKey,
                 const KeyRecord& aRecord,
                 const KeyRecordLimits& aLimits)
{
  if (mRecords.size() >= aLimits.mMaxRecords) {
    return false;
  }
  return Insert(aKey, aRecord);
}

const Answer&
KeyRecords::Close(const WorkspaceKey& aKey,
                  const Answer& aAnswer,
                  const KeyRecordLimits& aLimits)
{
  KeyRecord& record = mRecords.at(aKey);
  const std::size_t bytes = aAnswer.mBody.size();
  if (mAnswerBytes + bytes > aLimits.mMaxAnswerBytes) {
    record.mAnswer = Answer{
      false,
      Error{ ErrorCode::kOutcomeUnknown,
             "it ran once; expected room to keep its answer, found none" }
    };
    return *record.mAnswer;
  }
  mAnswerBytes += bytes;
  record.mAnswer = aAnswer;
  return *record.mAnswer;
}

bool
KeyRecords::AddTombstone(const WorkspaceKey& aKey,
                         Instant aExpires,
                         const KeyRecordLimits& aLimits)
{
  if (mTombstones.size() >= aLimits.mMaxTombstones) {
    return false;
  }
  Erase(aKey);
  const std::uint64_t hash = HashOf(aKey);
  Instant& expires = mTombstones[hash];
  mTombstonesByExpiry.erase({ expires, hash });
  expires = std::max(expires, aExpires);
  mTombstonesByExpiry.insert({ expires, hash });
  return true;
}

bool
KeyRecords::Insert(const WorkspaceKey& aKey, const KeyRecord& aRecord)
{
  if (!mRecords.emplace(aKey, aRecord).second) {
    return false;
  }
  mByExpiry.insert({ aRecord.mExpires, aKey });
  mAnswerBytes += aRecord.mAnswer ? aRecord.mAnswer->mBody.size() : 0;
  return true;
}

void
KeyRecords::DropExpired(Instant aNow)
{
  for (auto it = mByExpiry.begin();
       it != mByExpiry.end() && it->first < aNow;) {
    const WorkspaceKey key = it->second;
    ++it;
    if (mRecords.at(key).mAnswer) {
      Erase(key);
    }
  }
  while (!mTombstonesByExpiry.empty() &&
         mTombstonesByExpiry.begin()->first < aNow) {
    mTombstones.erase(mTombstonesByExpiry.begin()->second);
    mTombstonesByExpiry.erase(mTombstonesByExpiry.begin());
  }
}

void
KeyRecords::Erase(const WorkspaceKey& aKey)
{
  const auto it = mRecords.find(aKey);
  if (it == mRecords.end()) {
    return;
  }
  if (it->second.mAnswer) {
    mAnswerBytes -= it->second.mAnswer->mBody.size();
  }
  mByExpiry.erase({ it->second.mExpires, aKey });
  mRecords.erase(it);
}

} // namespace heatherfork::detail
