#include "attempt_table.h"

#include <algorithm>
#include <cstdlib>

#include <absl/strings/numbers.h>

namespace heatherfork::stand_in {

namespace {

constexpr std::size_t kHexDigits = 16;

absl::Status
AlreadyCancelled()
{
  return absl::FailedPreconditionError("cancelled before");
}

absl::Status
CapacityExceeded()
{
  return absl::ResourceExhaustedError("full");
}

} // namespace

absl::StatusOr<AttemptKey>
ParseAttempt(const std::string& aText)
{
  AttemptKey key;
  const bool isValid =
    aText.size() == 2 * kHexDigits + 1 && aText[kHexDigits] == '-' &&
    absl::SimpleHexAtoi(aText.substr(0, kHexDigits), &key.first) &&
    absl::SimpleHexAtoi(aText.substr(kHexDigits + 1), &key.second);
  if (!isValid) {
    return absl::InvalidArgumentError("attempt: " + aText);
  }
  return key;
}

AttemptTable::AttemptTable(Capacity aCapacity)
  : mCapacity(aCapacity)
{
}

absl::Status
AttemptTable::Reserve(AttemptKey aKey, int aPieces, Instant aNow)
{
  Expire(aNow);
  if (HasTombstone(aKey)) {
    return AlreadyCancelled();
  }
  if (HasAttempt(aKey)) {
    return absl::OkStatus();
  }
  if (!HasRoom(aPieces)) {
    return CapacityExceeded();
  }
  mAttempts[aKey] = Attempt{ .mPieces = aPieces };
  return absl::OkStatus();
}

absl::Status
AttemptTable::BeginPrefill(AttemptKey aKey,
                           int aTokens,
                           const std::string& aPrompt,
                           Instant aNow)
{
  Expire(aNow);
  if (HasTombstone(aKey) || HasAttempt(aKey)) {
    return AlreadyCancelled();
  }
  const auto pieces = PiecesForTokens(aTokens);
  if (!HasRoom(pieces)) {
    return CapacityExceeded();
  }
  mAttempts[aKey] = Attempt{ .mPhase = Phase::kPrefilling,
                             .mPieces = pieces,
                             .mTokens = aTokens,
                             .mPrompt = aPrompt };
  return absl::OkStatus();
}

absl::Status
AttemptTable::EndPrefill(AttemptKey aKey, Instant aNow)
{
  const auto it = mAttempts.find(aKey);
  if (it == mAttempts.end()) {
    return absl::InternalError("cancelled during the prefill");
  }
  it->second.mPhase = Phase::kPrefilled;
  it->second.mEvictAt = aNow + mCapacity.mResultLifetime;
  return absl::OkStatus();
}

absl::StatusOr<Attempt>
AttemptTable::Result(AttemptKey aKey, Instant aNow)
{
  Expire(aNow);
  const auto it = mAttempts.find(aKey);
  if (it == mAttempts.end() || it->second.mPhase != Phase::kPrefilled) {
    return absl::OutOfRangeError("evicted");
  }
  return it->second;
}

absl::Status
AttemptTable::Import(AttemptKey aKey,
                     int aTokens,
                     const std::string& aPrompt,
                     Instant aNow)
{
  Expire(aNow);
  const auto it = mAttempts.find(aKey);
  const bool canImport = it != mAttempts.end() &&
                         it->second.mPhase == Phase::kReserved &&
                         it->second.mPieces >= PiecesForTokens(aTokens);
  if (!canImport) {
    return absl::FailedPreconditionError("not reserved");
  }
  it->second.mPhase = Phase::kImported;
  it->second.mTokens = aTokens;
  it->second.mPrompt = aPrompt;
  return absl::OkStatus();
}

absl::StatusOr<Attempt>
AttemptTable::OpenStream(AttemptKey aKey, int aOffset, Instant aNow)
{
  Expire(aNow);
  const auto it = mAttempts.find(aKey);
  if (it == mAttempts.end() || it->second.mPhase != Phase::kImported) {
    return absl::FailedPreconditionError("no KV cache");
  }
  if (aOffset > it->second.mDecodedTokens) {
    return absl::OutOfRangeError("offset was not reached");
  }
  ++it->second.mStreamNumber;
  it->second.mIsStreamOpen = true;
  return it->second;
}

bool
AttemptTable::RecordToken(AttemptKey aKey, int aStream, int aDecodedTokens)
{
  const auto it = mAttempts.find(aKey);
  if (it == mAttempts.end() || it->second.mStreamNumber != aStream) {
    return false;
  }
  it->second.mDecodedTokens =
    std::max(it->second.mDecodedTokens, aDecodedTokens);
  return true;
}

void
AttemptTable::CloseStream(AttemptKey aKey, int aStream)
{
  const auto it = mAttempts.find(aKey);
  if (it != mAttempts.end() && it->second.mStreamNumber == aStream) {
    it->second.mIsStreamOpen = false;
  }
}

void
AttemptTable::Release(AttemptKey aKey)
{
  mAttempts.erase(aKey);
}

void
AttemptTable::Cancel(AttemptKey aKey, Instant aNow)
{
  mAttempts.erase(aKey);
  mTombstones[aKey] = aNow + mCapacity.mTombstoneLifetime;
}

int
AttemptTable::CancelRange(std::uint64_t aIncarnation,
                          std::uint64_t aLast,
                          Instant aNow)
{
  const auto expires = aNow + mCapacity.mTombstoneLifetime;
  auto& range = mCancelledRanges[aIncarnation];
  range = { std::max(range.first, aLast), expires };
  const auto cancelled = std::erase_if(mAttempts, [&](const auto& aItem) {
    const auto& key = aItem.first;
    return key.first == aIncarnation && key.second <= aLast;
  });
  return static_cast<int>(cancelled);
}

Usage
AttemptTable::CurrentUsage(Instant aNow)
{
  Expire(aNow);
  return CountUsage();
}

bool
AttemptTable::HasTombstone(AttemptKey aKey) const
{
  const auto range = mCancelledRanges.find(aKey.first);
  if (range != mCancelledRanges.end() && aKey.second <= range->second.first) {
    return true;
  }
  return mTombstones.contains(aKey);
}

bool
AttemptTable::HasRoom(int aPieces) const
{
  const auto usage = CountUsage();
  return usage.mSlots < mCapacity.mSlots &&
         usage.mPieces + aPieces <= mCapacity.mPieces;
}

int
AttemptTable::PiecesForTokens(int aTokens) const
{
  return (aTokens + mCapacity.mTokensPerPiece - 1) / mCapacity.mTokensPerPiece;
}

void
AttemptTable::Expire(Instant aNow)
{
  std::erase_if(mAttempts, [&](const auto& aItem) {
    const auto& attempt = aItem.second;
    return attempt.mPhase == Phase::kPrefilled && attempt.mEvictAt <= aNow;
  });
  std::erase_if(mTombstones,
                [&](const auto& aItem) { return aItem.second <= aNow; });
  std::erase_if(mCancelledRanges,
                [&](const auto& aItem) { return aItem.second.second <= aNow; });
}

Usage
AttemptTable::CountUsage() const
{
  Usage usage;
  for (const auto& [key, attempt] : mAttempts) {
    // A prefilled result occupies memory but no slot.
    usage.mSlots += attempt.mPhase == Phase::kPrefilled ? 0 : 1;
    usage.mPieces += attempt.mPieces;
    usage.mOpenStreams += attempt.mIsStreamOpen ? 1 : 0;
  }
  usage.mTombstones = mTombstones.size() + mCancelledRanges.size();
  return usage;
}

} // namespace heatherfork::stand_in
