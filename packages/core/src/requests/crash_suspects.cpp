#include "heatherfork/detail/requests/crash_suspects.h"

#include <algorithm>

namespace heatherfork::detail {

void
CrashSuspects::OnCrash(std::uint64_t aFingerprint,
                       bool aIsIsolated,
                       Instant aUntil)
{
  Suspect& suspect = mSuspects[aFingerprint];
  suspect.mIsolatedCrashes += aIsIsolated ? 1 : 0;
  suspect.mUntil = std::max(suspect.mUntil, aUntil);
}

void
CrashSuspects::OnSuccess(std::uint64_t aFingerprint)
{
  mSuspects.erase(aFingerprint);
}

void
CrashSuspects::Merge(std::uint64_t aFingerprint,
                     int aIsolatedCrashes,
                     Instant aUntil)
{
  Suspect& suspect = mSuspects[aFingerprint];
  suspect.mIsolatedCrashes =
    std::max(suspect.mIsolatedCrashes, aIsolatedCrashes);
  suspect.mUntil = std::max(suspect.mUntil, aUntil);
}

bool
CrashSuspects::IsSuspect(std::uint64_t aFingerprint) const
{
  return mSuspects.contains(aFingerprint);
}

bool
CrashSuspects::IsRefused(std::uint64_t aFingerprint) const
{
  return IsolatedCrashCount(aFingerprint) >= kMaxIsolatedCrashes;
}

int
CrashSuspects::IsolatedCrashCount(std::uint64_t aFingerprint) const
{
  const auto it = mSuspects.find(aFingerprint);
  return it == mSuspects.end() ? 0 : it->second.mIsolatedCrashes;
}

void
CrashSuspects::DropExpired(Instant aNow)
{
  std::erase_if(mSuspects, [aNow](const auto& aItem) {
    return aItem.second.mUntil < aNow;
  });
}

} // namespace heatherfork::detail
