#include "heatherfork/detail/relay/key_proof.h"

#include <algorithm>
#include <string>

#include "heatherfork/detail/relay/relay_peers.h"
#include "heatherfork/store_readers.h"

namespace heatherfork::detail {

namespace {

// Parts of the limit on the delay of withdrawn keys. Callers are served for
// three fifths of it after the way to the store is lost, so that a proof must
// stay younger than two fifths less the margin: a reader's is at most two of
// its watches old, and the others add one interval between questions.
constexpr int kMarginPart = 20; ///< For the way to a replica.
constexpr int kAskPart = 10;
constexpr int kReviewPart = 50;    ///< At a reader, whose own calls suffice.
constexpr int kAskAgainPart = 20;  ///< While the proof is not recent.
constexpr int kRecentPart = 5;     ///< Age of a recent proof.
constexpr int kAskStoreTenths = 3; ///< Age at which the store is asked.

// After as many questions to readers of the store, other nodes are asked.
constexpr int kReaderQuestions = 2;

constexpr std::size_t kMaxQuestions = 16;

// Distinguishes the questions of two incarnations at one address.
constexpr int kNumberBits = 20;

std::string
AgeText(std::optional<Duration> aAge)
{
  return aAge ? "age_ms=" + std::to_string(ToMilliseconds(*aAge))
              : "age_ms=none";
}

} // namespace

bool
KeyProof::IsNeeded(const RelaySettings& aSettings) const
{
  return aSettings.mMaxKeyDelay > Duration{} && mRouting != nullptr &&
         mRouting->mNeedsKeys;
}

std::optional<Duration>
KeyProof::Age(Instant aNow) const
{
  return mProvenAt ? std::optional(aNow - *mProvenAt) : std::nullopt;
}

std::optional<Instant>
KeyProof::SendLimit(const RelaySettings& aSettings) const
{
  const Duration most = aSettings.mMaxKeyDelay;
  if (most <= Duration{}) {
    return std::nullopt;
  }
  return mProvenAt ? *mProvenAt + most - most / kMarginPart : Instant{};
}

bool
KeyProof::IsCurrent(const RelaySettings& aSettings, Instant aNow) const
{
  const std::optional<Instant> limit = SendLimit(aSettings);
  return !limit || aNow < *limit;
}

bool
KeyProof::ShouldAskStore(const RelaySettings& aSettings, Instant aNow) const
{
  return IsNeeded(aSettings) &&
         (!mProvenAt ||
          aNow - *mProvenAt >= aSettings.mMaxKeyDelay * kAskStoreTenths / 10);
}

// Changes of another revision may be missing here, or there.
void
KeyProof::On(RelayContext& aContext, const RoutesConfirmed& aEvent)
{
  if (mRouting != nullptr && aEvent.mRevision == mRouting->mRevision) {
    Advance(aContext, aEvent.mAskedAt);
  }
}

void
KeyProof::On(RelayContext& aContext,
             const NodeId& aFrom,
             const KeyProofRequest& aRequest)
{
  if (mRouting == nullptr || !mProvenAt) {
    return;
  }
  aContext.mShared.Send(aFrom,
                        KeyProofReply{ aRequest.mNumber,
                                       mRouting->mRevision,
                                       aContext.Now() - *mProvenAt });
}

// The reply was written after the question was sent, so that its age counts
// from there, however long the way back took.
void
KeyProof::On(RelayContext& aContext, const KeyProofReply& aReply)
{
  const auto it = mQuestions.find(aReply.mNumber);
  if (it == mQuestions.end()) {
    return;
  }
  const Instant askedAt = it->second;
  mQuestions.erase(it);
  if (mRouting != nullptr && aReply.mRevision == mRouting->mRevision &&
      aReply.mAge >= Duration{}) {
    Advance(aContext, askedAt - aReply.mAge);
  }
}

void
KeyProof::Advance(RelayContext& aContext, Instant aProvenAt)
{
  if (mProvenAt && aProvenAt <= *mProvenAt) {
    return;
  }
  mProvenAt = aProvenAt;
  if (aContext.Now() - aProvenAt <
      aContext.mSettings.mMaxKeyDelay / kRecentPart) {
    mFruitlessQuestions = 0;
  }
  LogChange(aContext);
}

void
KeyProof::OnTimer(RelayContext& aContext)
{
  if (!IsNeeded(aContext.mSettings)) {
    return;
  }
  LogChange(aContext);
  if (aContext.Now() < mNextAskAt) {
    return;
  }
  const Duration most = aContext.mSettings.mMaxKeyDelay;
  const bool isRecent =
    mProvenAt && aContext.Now() - *mProvenAt < most / kRecentPart;
  if (isRecent && IsStoreReader(aContext.mShared.mMembers,
                                aContext.mShared.mSettings.mSelf)) {
    mNextAskAt = aContext.Now() + most / kReviewPart;
    return;
  }
  mNextAskAt =
    aContext.Now() +
    (mFruitlessQuestions == 0 ? most / kAskPart : most / kAskAgainPart);
  Ask(aContext);
}

// Readers are asked in turn, so that they share the questions.
std::optional<NodeId>
KeyProof::ChoosePeer(RelayContext& aContext) const
{
  if (mFruitlessQuestions < kReaderQuestions) {
    std::vector<NodeId> readers = StoreReaders(aContext.mShared.mMembers);
    std::erase(readers, aContext.mShared.mSettings.mSelf);
    if (!readers.empty()) {
      return readers[mLastNumber % readers.size()];
    }
  }
  const std::vector<NodeId> peers = ChooseRandomPeers(aContext, 1);
  return peers.empty() ? std::nullopt : std::optional(peers.front());
}

void
KeyProof::Ask(RelayContext& aContext)
{
  const std::optional<NodeId> peer = ChoosePeer(aContext);
  ++mFruitlessQuestions;
  if (!peer) {
    return;
  }
  if (mLastNumber == 0) {
    mLastNumber = aContext.mShared.mSettings.mSelf.mIncarnation << kNumberBits;
  }
  mQuestions[++mLastNumber] = aContext.Now();
  if (mQuestions.size() > kMaxQuestions) {
    mQuestions.erase(mQuestions.begin());
  }
  aContext.mShared.Send(*peer, KeyProofRequest{ mLastNumber });
}

void
KeyProof::LogChange(RelayContext& aContext)
{
  const bool isCurrent = IsCurrent(aContext.mSettings, aContext.Now());
  if (!IsNeeded(aContext.mSettings) || isCurrent == mWasCurrent) {
    return;
  }
  mWasCurrent = isCurrent;
  aContext.Emit(
    RelayLogEntry{ isCurrent ? "keys-confirmed" : "keys-unconfirmed",
                   "",
                   AgeText(Age(aContext.Now())) +
                     " revision=" + std::to_string(mRouting->mRevision) +
                     " questions=" + std::to_string(mFruitlessQuestions) });
}

} // namespace heatherfork::detail
