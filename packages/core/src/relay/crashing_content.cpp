#include "heatherfork/detail/relay/crashing_content.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "heatherfork/detail/hash.h"

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

// Bound the memory and the work for new evidence.
constexpr std::size_t kMaxCrashRecords = 32;
constexpr std::size_t kMaxCrashRecordsToDerive = 128; // Until the next update.
constexpr std::size_t kMaxContentsPerCrash = 512;

bool
Includes(const Contents& aAll, const Contents& aSome)
{
  return std::includes(aAll.begin(), aAll.end(), aSome.begin(), aSome.end());
}

Contents
Common(const Contents& aOne, const Contents& aTwo)
{
  Contents common;
  std::set_intersection(aOne.begin(),
                        aOne.end(),
                        aTwo.begin(),
                        aTwo.end(),
                        std::back_inserter(common));
  return common;
}

bool
HasContent(const CrashedRequest& aRequest, ContentId aContent)
{
  const auto& parts = aRequest.mParts;
  return aRequest.mFingerprint == aContent ||
         std::find(parts.begin(), parts.end(), aContent) != parts.end();
}

} // namespace

Contents
CrashingContent::Crash::OpenContents(const CrashedRequest& aRequest) const
{
  Contents contents = aRequest.mParts;
  contents.push_back(aRequest.mFingerprint);
  std::erase_if(
    contents, [this](ContentId aContent) { return mSound.contains(aContent); });
  std::sort(contents.begin(), contents.end());
  contents.erase(std::unique(contents.begin(), contents.end()), contents.end());
  return contents;
}

bool
CrashingContent::Crash::HasRequestWith(const Contents& aContents) const
{
  return std::any_of(
    mRequests.begin(), mRequests.end(), [&](const auto& aItem) {
      return Includes(OpenContents(aItem.second), aContents);
    });
}

CrashRecord
CrashingContent::Crash::Record(CrashId aCrash, Instant aNow) const
{
  CrashRecord record;
  record.mCrash = aCrash;
  record.mAge = aNow - mAt;
  for (const auto& [fingerprint, request] : mRequests) {
    record.mRequests.push_back(request);
  }
  record.mSound.assign(mSound.begin(), mSound.end());
  return record;
}

std::uint64_t
CrashingContent::Crash::Digest() const
{
  std::uint64_t digest = 0;
  const auto add = [&digest](std::uint64_t aValue) {
    digest = Hash(std::to_string(aValue), digest);
  };
  for (const auto& [fingerprint, request] : mRequests) {
    add(fingerprint);
    add(request.mRanAlone ? 1 : 0);
  }
  for (const ContentId content : mSound) {
    add(content);
  }
  return digest;
}

void
CrashingContent::OnCrash(Instant aNow, const CrashRecord& aRecord)
{
  if (aRecord.mAge > kRefusalLifetime || aRecord.mRequests.empty()) {
    return;
  }
  const auto [it, isNew] = mCrashes.try_emplace(aRecord.mCrash);
  Crash& crash = it->second;
  if (isNew) {
    crash.mAt = aNow - std::max(aRecord.mAge, Duration{});
  }
  std::size_t count = 0;
  for (const auto& [fingerprint, request] : crash.mRequests) {
    count += request.mParts.size() + 1;
  }
  for (const CrashedRequest& request : aRecord.mRequests) {
    count += request.mParts.size() + 1;
    const auto known = crash.mRequests.find(request.mFingerprint);
    if (known != crash.mRequests.end()) {
      known->second.mRanAlone = known->second.mRanAlone || request.mRanAlone;
    } else if (count <= kMaxContentsPerCrash) {
      crash.mRequests.emplace(request.mFingerprint, request);
      mOpen.insert(request.mFingerprint);
      mOpen.insert(request.mParts.begin(), request.mParts.end());
    }
  }
  for (const ContentId content : aRecord.mSound) {
    if (std::any_of(crash.mRequests.begin(),
                    crash.mRequests.end(),
                    [content](const auto& aItem) {
                      return HasContent(aItem.second, content);
                    })) {
      crash.mSound.insert(content);
    }
  }
  mIsStale = true;
  if (mCrashes.size() > kMaxCrashRecordsToDerive) {
    Refresh();
  }
}

// What explains a crash is dropped last, so that refused content outlasts many
// other crashes.
void
CrashingContent::DropOne()
{
  std::map<std::optional<std::size_t>, int> counts;
  for (const auto& [id, crash] : mCrashes) {
    ++counts[crash.mExplainedBy];
  }
  const auto rank = [&counts](const auto& aItem) {
    const Crash& crash = aItem.second;
    const bool isExplained = crash.mExplainedBy.has_value();
    const int others = isExplained ? counts[crash.mExplainedBy] : 0;
    return std::tuple(isExplained, -others, crash.mAt);
  };
  mCrashes.erase(std::min_element(
    mCrashes.begin(), mCrashes.end(), [&](const auto& aOne, const auto& aTwo) {
      return rank(aOne) < rank(aTwo);
    }));
}

bool
CrashingContent::OnSound(ContentId aContent, bool aIsWholeRequest)
{
  (aIsWholeRequest ? mSoundRequests : mSoundParts).Add(aContent);
  if (mOpen.erase(aContent) == 0) {
    return false;
  }
  for (auto& [id, crash] : mCrashes) {
    if (std::any_of(crash.mRequests.begin(),
                    crash.mRequests.end(),
                    [aContent](const auto& aItem) {
                      return HasContent(aItem.second, aContent);
                    })) {
      crash.mSound.insert(aContent);
    }
  }
  mIsStale = true;
  return true;
}

bool
CrashingContent::Update()
{
  Refresh();
  return std::exchange(mIsNewlyRefused, false);
}

void
CrashingContent::Refresh()
{
  if (!std::exchange(mIsStale, false)) {
    return;
  }
  const std::vector<Refusal> before = std::move(mRefusals);
  Derive();
  while (mCrashes.size() > kMaxCrashRecords) {
    DropOne();
  }
  IndexSuspects();
  const bool isNewlyRefused = std::any_of(
    mRefusals.begin(), mRefusals.end(), [&before](const Refusal& aRefusal) {
      return std::none_of(
        before.begin(), before.end(), [&aRefusal](const Refusal& aKnown) {
          return Includes(aRefusal.mContents, aKnown.mContents);
        });
    });
  mIsNewlyRefused = mIsNewlyRefused || isNewlyRefused;
}

// A crash that refused content explains is no evidence against what ran beside
// it. So explanations are sought one by one, each for the crashes that are
// left.
void
CrashingContent::Derive()
{
  mRefusals.clear();
  for (auto& [id, crash] : mCrashes) {
    crash.mExplainedBy.reset();
  }
  while (const auto found = Explain()) {
    Refusal& refusal = mRefusals.emplace_back(*found);
    for (auto& [id, crash] : mCrashes) {
      const bool isExplained = crash.HasRequestWith(refusal.mContents);
      if (isExplained && !crash.mExplainedBy) {
        crash.mExplainedBy = mRefusals.size() - 1;
        refusal.mUntil = std::max(refusal.mUntil, crash.mAt + kRefusalLifetime);
      }
    }
  }
}

void
CrashingContent::IndexSuspects()
{
  mSuspects.clear();
  mOpen.clear();
  for (const auto& [id, crash] : mCrashes) {
    for (const auto& [fingerprint, request] : crash.mRequests) {
      const Contents contents = crash.OpenContents(request);
      mOpen.insert(contents.begin(), contents.end());
      if (!crash.mExplainedBy) {
        mSuspects.insert(contents.begin(), contents.end());
      }
    }
  }
}

CrashingContent::Suspicions
CrashingContent::Suspect() const
{
  std::vector<std::pair<Instant, CrashId>> order;
  for (const auto& [id, crash] : mCrashes) {
    if (!crash.mExplainedBy) {
      order.emplace_back(crash.mAt, id);
    }
  }
  std::sort(order.begin(), order.end());
  Suspicions suspicions;
  for (const auto& [at, id] : order) {
    const Crash& crash = mCrashes.at(id);
    std::map<ContentId, bool> running; // Whether it ran alone.
    for (const auto& [fingerprint, request] : crash.mRequests) {
      const Contents contents = crash.OpenContents(request);
      for (const ContentId content : contents) {
        const bool isWhole = content == fingerprint;
        running[content] = running[content] || (isWhole && request.mRanAlone);
        const auto [it, isNew] = suspicions.try_emplace(content);
        Suspicion& suspicion = it->second;
        suspicion.mTogether =
          isNew ? contents : Common(suspicion.mTogether, contents);
        suspicion.mIsWholeRequest = suspicion.mIsWholeRequest || isWhole;
      }
    }
    for (const auto& [content, ranAlone] : running) {
      Suspicion& suspicion = suspicions[content];
      suspicion.mCrashes.insert(id);
      // Runs one after the other crash for causes of their own.
      if (suspicion.mCount == 0 || ranAlone ||
          at - suspicion.mCountedAt >= kCrashSeparation) {
        ++suspicion.mCount;
        suspicion.mAloneCount += ranAlone ? 1 : 0;
        suspicion.mCountedAt = at;
      }
    }
  }
  for (auto& [content, suspicion] : suspicions) {
    suspicion.mWasSound = WasSound(content);
  }
  return suspicions;
}

// Content of other requests that was running at all crashes of this one, so
// that it explains them as well.
Contents
CrashingContent::RivalsOf(const Suspicions& aSuspicions,
                          ContentId aContent) const
{
  Contents rivals;
  const Suspicion& own = aSuspicions.at(aContent);
  for (const auto& [content, other] : aSuspicions) {
    const bool isSeparate = !Includes(own.mTogether, { content }) &&
                            !Includes(other.mTogether, { aContent });
    if (isSeparate && other.mWasSound == own.mWasSound &&
        std::includes(other.mCrashes.begin(),
                      other.mCrashes.end(),
                      own.mCrashes.begin(),
                      own.mCrashes.end())) {
      rivals.push_back(content);
    }
  }
  return rivals;
}

// Content that was answered before is the cause only if nothing else is. Of the
// rest, the one with the most crashes explains them best, and among equals the
// one that was running at the latest. Rivals are not chosen from: a mistake
// would let the cause go on.
std::optional<CrashingContent::Refusal>
CrashingContent::Explain()
{
  const Suspicions suspicions = Suspect();
  const auto rank = [](const Suspicion& aSuspicion) {
    return std::tuple(!aSuspicion.mWasSound,
                      aSuspicion.mCount,
                      aSuspicion.mCountedAt,
                      aSuspicion.mAloneCount,
                      aSuspicion.mTogether.size());
  };
  std::vector<Suspicions::const_iterator> candidates;
  mRivalries.clear();
  for (auto it = suspicions.begin(); it != suspicions.end(); ++it) {
    const Suspicion& suspicion = it->second;
    const int limit = suspicion.mWasSound ? kMaxCrashesOfSound : kMaxCrashes;
    if (suspicion.mAloneCount < kMaxCrashesAlone && suspicion.mCount < limit) {
      continue;
    }
    Contents rivals = RivalsOf(suspicions, it->first);
    if (rivals.empty()) {
      candidates.push_back(it);
      continue;
    }
    rivals.push_back(it->first);
    const ContentId rivalry = *std::min_element(rivals.begin(), rivals.end());
    for (const ContentId rival : rivals) {
      const auto known = mRivalries.try_emplace(rival, rivalry).first;
      known->second = std::min(known->second, rivalry);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  auto best = candidates.front();
  for (const auto& it : candidates) {
    if (rank(it->second) > rank(best->second)) {
      best = it;
    }
  }
  // Content that is always together with the best one is as likely the cause:
  // of one crash more, the best one may be innocent. Refusing only requests
  // with all of it lets the others show which it is.
  const auto first = best;
  for (const auto& it : candidates) {
    const Suspicion& other = it->second;
    const int tolerated = other.mIsWholeRequest ? 0 : 1;
    if (other.mWasSound == first->second.mWasSound &&
        other.mCount + tolerated >= first->second.mCount &&
        Includes(other.mTogether, { first->first }) &&
        other.mTogether.size() > best->second.mTogether.size()) {
      best = it;
    }
  }
  Refusal refusal{ best->second.mTogether, Instant{} };
  if (!best->second.mWasSound) {
    std::erase_if(refusal.mContents, [&](ContentId aContent) {
      return suspicions.at(aContent).mWasSound;
    });
  }
  return refusal;
}

std::optional<ContentId>
CrashingContent::RivalryOf(const Contents& aContents) const
{
  std::optional<ContentId> rivalry;
  for (const ContentId content : aContents) {
    const auto it = mRivalries.find(content);
    if (it != mRivalries.end() && (!rivalry || it->second < *rivalry)) {
      rivalry = it->second;
    }
  }
  return rivalry;
}

std::optional<Duration>
CrashingContent::RefusedFor(Instant aNow, const Contents& aContents) const
{
  std::optional<Duration> longest;
  for (const Refusal& refusal : mRefusals) {
    if (refusal.mUntil > aNow && Includes(aContents, refusal.mContents)) {
      longest = std::max(longest, std::optional(refusal.mUntil - aNow));
    }
  }
  return longest;
}

std::vector<CrashRecord>
CrashingContent::Records(Instant aNow) const
{
  return RecordsBeside(aNow, {});
}

std::vector<KnownCrash>
CrashingContent::Known() const
{
  std::vector<KnownCrash> known;
  for (const auto& [id, crash] : mCrashes) {
    known.push_back({ id, crash.Digest() });
  }
  return known;
}

std::vector<CrashRecord>
CrashingContent::RecordsBeside(Instant aNow,
                               const std::vector<KnownCrash>& aKnown) const
{
  std::vector<CrashRecord> records;
  for (const auto& [id, crash] : mCrashes) {
    const KnownCrash known{ id, crash.Digest() };
    if (std::find(aKnown.begin(), aKnown.end(), known) == aKnown.end()) {
      records.push_back(crash.Record(id, aNow));
    }
  }
  return records;
}

bool
CrashingContent::LacksAny(const std::vector<KnownCrash>& aKnown) const
{
  return std::any_of(
    aKnown.begin(), aKnown.end(), [this](const KnownCrash& aCrash) {
      return !mCrashes.contains(aCrash.mCrash);
    });
}

void
CrashingContent::DropExpired(Instant aNow)
{
  const std::size_t dropped = std::erase_if(mCrashes, [&](const auto& aItem) {
    const Crash& crash = aItem.second;
    return crash.mExplainedBy ? mRefusals[*crash.mExplainedBy].mUntil <= aNow
                              : aNow - crash.mAt > kSuspectLifetime;
  });
  mIsStale = mIsStale || dropped > 0;
}

} // namespace heatherfork::detail
