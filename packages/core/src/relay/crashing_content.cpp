#include "heatherfork/detail/relay/crashing_content.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// Other content runs beside the cause of a crash. It rarely does so three times
// in a row, and content that was answered before even more rarely is the cause.
constexpr int kMaxCrashes = 3;
constexpr int kMaxCrashesOfSound = 5;

// One crash alone may have been caused by what ran beside it.
constexpr int kMaxCrashesAlone = 2;

// Replicas that fail at the same moment have another cause than one request.
constexpr Duration kCrashSeparation = Milliseconds(100);

constexpr Duration kSuspectLifetime = Milliseconds(60000);
constexpr Duration kRefusalLifetime = Milliseconds(600000);

constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxSoundPerGeneration = 4096;

} // namespace

bool
CrashingContent::WasSound(ContentId aContent) const
{
  return mSound.contains(aContent) || mSoundBefore.contains(aContent);
}

CrashingContent::Suspect&
CrashingContent::FindOrAdd(ContentId aContent)
{
  if (mSuspects.size() >= kMaxSuspects && !mSuspects.contains(aContent)) {
    const auto oldest = std::min_element(
      mSuspects.begin(),
      mSuspects.end(),
      [](const auto& aOne, const auto& aTwo) {
        return std::max(aOne.second.mLastCounted, aOne.second.mRefusedUntil) <
               std::max(aTwo.second.mLastCounted, aTwo.second.mRefusedUntil);
      });
    mSuspects.erase(oldest);
  }
  return mSuspects[aContent];
}

std::vector<ContentId>
CrashingContent::OnCrash(Instant aNow,
                         std::uint64_t aCrash,
                         const std::vector<ContentId>& aContents,
                         const std::vector<ContentId>& aRanAlone)
{
  std::vector<ContentId> refused;
  for (const ContentId content : aContents) {
    Suspect& suspect = FindOrAdd(content);
    const bool isNew = suspect.mCrashes.insert(aCrash).second;
    // Runs one after the other crash for causes of their own.
    const bool ranAlone =
      std::find(aRanAlone.begin(), aRanAlone.end(), content) != aRanAlone.end();
    const bool isSeparate = suspect.mCount == 0 || ranAlone ||
                            aNow - suspect.mLastCounted >= kCrashSeparation;
    if (!isNew || !isSeparate || suspect.mRefusedUntil > aNow) {
      continue;
    }
    ++suspect.mCount;
    suspect.mAloneCount += ranAlone ? 1 : 0;
    suspect.mLastCounted = aNow;
    if (suspect.mAloneCount >= kMaxCrashesAlone ||
        suspect.mCount >=
          (WasSound(content) ? kMaxCrashesOfSound : kMaxCrashes)) {
      suspect.mRefusedUntil = aNow + kRefusalLifetime;
      refused.push_back(content);
    }
  }
  return refused;
}

bool
CrashingContent::OnSound(ContentId aContent)
{
  if (!mSoundBefore.contains(aContent)) {
    mSound.insert(aContent);
  }
  if (mSound.size() >= kMaxSoundPerGeneration) {
    mSoundBefore = std::move(mSound);
    mSound.clear();
  }
  return mSuspects.erase(aContent) > 0;
}

// A crash since the last answer makes the content a suspect, and then the other
// node may know more of it. What it does not know is that the content was
// answered before, so this node must have counted as many crashes.
bool
CrashingContent::OnRefused(Instant aNow, const RefusedContent& aRefused)
{
  const auto known = mSuspects.find(aRefused.mContent);
  if (WasSound(aRefused.mContent)) {
    if (known == mSuspects.end()) {
      return false;
    }
    if (known->second.mCount < kMaxCrashes) {
      return true;
    }
  }
  Suspect& suspect = FindOrAdd(aRefused.mContent);
  const Duration remaining = std::min(aRefused.mRemaining, kRefusalLifetime);
  suspect.mRefusedUntil = std::max(suspect.mRefusedUntil, aNow + remaining);
  return true;
}

std::optional<Duration>
CrashingContent::RefusedFor(Instant aNow, ContentId aContent) const
{
  const auto it = mSuspects.find(aContent);
  if (it == mSuspects.end() || it->second.mRefusedUntil <= aNow) {
    return std::nullopt;
  }
  return it->second.mRefusedUntil - aNow;
}

std::vector<RefusedContent>
CrashingContent::AllRefused(Instant aNow) const
{
  std::vector<RefusedContent> refused;
  for (const auto& [content, suspect] : mSuspects) {
    if (suspect.mRefusedUntil > aNow) {
      refused.push_back({ content, suspect.mRefusedUntil - aNow });
    }
  }
  return refused;
}

void
CrashingContent::DropExpired(Instant aNow)
{
  std::erase_if(mSuspects, [aNow](const auto& aItem) {
    const Suspect& suspect = aItem.second;
    return suspect.mRefusedUntil <= aNow &&
           aNow - suspect.mLastCounted > kSuspectLifetime;
  });
}

} // namespace heatherfork::detail
