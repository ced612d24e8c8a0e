#include "heatherfork/detail/configuration/configuration_distributor.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "heatherfork/detail/configuration/watch_turn.h"

namespace heatherfork::detail {

namespace {

// Limit of open part requests to peers. A new node requests all parts, so this
// bounds the burst.
constexpr std::size_t kMaxPartRequests = 64;

} // namespace

ConfigurationDistributor::ConfigurationDistributor(
  const NodeSettings& aSettings,
  ConfigurationListener& aListener)
  : mSettings(aSettings)
  , mConfigurationSettings(aSettings.mConfiguration)
  , mListener(aListener)
{
}

Revision
ConfigurationDistributor::CurrentRevision() const
{
  return mCurrentHead ? mCurrentHead->mRevision : 0;
}

Revision
ConfigurationDistributor::LatestCheckedRevision() const
{
  return std::max(CurrentRevision(),
                  mRefusedHead ? mRefusedHead->mRevision : 0);
}

void
ConfigurationDistributor::On(Context& aContext,
                             const TimerFired& /*aEvent*/,
                             const std::vector<NodeId>& aNeighbours)
{
  mNeighbours = aNeighbours;
  AskPeersBeforeService(aContext);
  PollService(aContext);
  FetchParts(aContext);
}

// The configuration service may hold an older revision than the fleet, so a
// node without a configuration asks its peers first. Peers without a
// configuration answer at once; only unresponsive peers cost the full
// mAskPeersTime.
void
ConfigurationDistributor::AskPeersBeforeService(Context& aContext)
{
  if (mMayReadService) {
    return;
  }
  if (!mStartedAt) {
    mStartedAt = aContext.mNow;
  }
  if (aContext.mNow - *mStartedAt >= mConfigurationSettings.mAskPeersTime) {
    mMayReadService = true;
    return;
  }
  for (const NodeId& neighbour : mNeighbours) {
    const bool hasEnough =
      mAskedPeers.size() >=
      static_cast<std::size_t>(mConfigurationSettings.mPeersAsked);
    if (!hasEnough && mAskedPeers.insert(neighbour).second) {
      mAwaitingReply.insert(neighbour);
      aContext.Send(neighbour, HeadRequest{});
    }
  }
}

void
ConfigurationDistributor::PollService(Context& aContext)
{
  const Instant now = aContext.mNow;
  if (mIsReadOpen &&
      now - mReadStartedAt > mConfigurationSettings.mWatchWait +
                               mConfigurationSettings.mCallTimeout) {
    mIsReadOpen = false;
  }
  if (!mMayReadService || mIsReadOpen || now < mNextReadAt) {
    return;
  }
  if (!IsWatcher(aContext.mMembers,
                 mSettings.mSelf,
                 now,
                 mConfigurationSettings.mWatchSlot)) {
    mNextReadAt = now + mConfigurationSettings.mCallGap;
    return;
  }
  mIsReadOpen = true;
  mReadStartedAt = now;
  aContext.Emit(
    ReadHead{ LatestCheckedRevision(), mConfigurationSettings.mWatchWait });
}

void
ConfigurationDistributor::On(Context& aContext, const HeadRead& aEvent)
{
  mIsReadOpen = false;
  mNextReadAt = aContext.mNow + mConfigurationSettings.mRetryDelay;
  if (!aEvent.mOk) {
    return;
  }
  const HeadParseResult result = ParseHead(aEvent.mBody);
  if (!result.mHead) {
    if (!mRefused || mRefused->mMistakes != result.mMistakes) {
      Refuse(aContext, RefusedRevision{ 0, result.mMistakes });
    }
    return;
  }
  // A service that immediately returns a known revision is stale; it is polled
  // again only after mRetryDelay.
  const bool isNew = result.mHead->mRevision > LatestCheckedRevision();
  const bool hasWaited =
    aContext.mNow - mReadStartedAt >= mConfigurationSettings.mWatchWait / 2;
  if (isNew || hasWaited) {
    mNextReadAt = mReadStartedAt + mConfigurationSettings.mCallGap;
  }
  HandleNewHead(aContext, *result.mHead, std::nullopt);
}

void
ConfigurationDistributor::HandleNewHead(Context& aContext,
                                        const ConfigurationHead& aHead,
                                        const std::optional<NodeId>& aSource)
{
  if (aHead.mRevision <= LatestCheckedRevision()) {
    return;
  }
  if (!mPending || aHead.mRevision > mPending->mHead.mRevision) {
    mPending = PendingRevision{ aHead };
  }
  if (mPending->mHead != aHead) {
    return;
  }
  if (!aSource) {
    mPending->mIsFromService = true;
  } else if (std::find(mPending->mSources.begin(),
                       mPending->mSources.end(),
                       *aSource) == mPending->mSources.end()) {
    mPending->mSources.push_back(*aSource);
  }
  FetchParts(aContext);
  BuildPending(aContext);
}

bool
ConfigurationDistributor::IsPartDue(const std::string& aDigest,
                                    Instant aNow) const
{
  const auto it = mPending->mRequestedAt.find(aDigest);
  const Duration pause = mPending->mSources.empty()
                           ? mConfigurationSettings.mRetryDelay
                           : mConfigurationSettings.mPartTimeout;
  return it == mPending->mRequestedAt.end() || aNow - it->second >= pause;
}

std::size_t
ConfigurationDistributor::OutstandingParts(Instant aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    mPending->mRequestedAt.begin(),
    mPending->mRequestedAt.end(),
    [&](const auto& aItem) {
      return !mParts.contains(aItem.first) && !IsPartDue(aItem.first, aNow);
    }));
}

void
ConfigurationDistributor::FetchParts(Context& aContext)
{
  if (!mPending) {
    return;
  }
  const std::size_t maxOpen =
    mPending->mSources.empty()
      ? static_cast<std::size_t>(mConfigurationSettings.mMaxPartReads)
      : kMaxPartRequests;
  std::size_t open = OutstandingParts(aContext.mNow);
  for (const std::string& digest : MissingDigests(mPending->mHead, mParts)) {
    if (open >= maxOpen) {
      return;
    }
    if (!IsPartDue(digest, aContext.mNow)) {
      continue;
    }
    if (!RequestPart(aContext, digest)) {
      return;
    }
    ++open;
  }
}

bool
ConfigurationDistributor::RequestPart(Context& aContext,
                                      const std::string& aDigest)
{
  mPending->mRequestedAt[aDigest] = aContext.mNow;
  if (!mPending->mSources.empty()) {
    const std::size_t sourceIndex =
      mPending->mSourceIndex++ % mPending->mSources.size();
    aContext.Send(mPending->mSources[sourceIndex], PartRequest{ aDigest });
    return true;
  }
  if (mPending->mIsFromService) {
    aContext.Emit(ReadPart{ aDigest });
    return true;
  }
  // No source is left. A later probe or ack names another peer that has the
  // revision.
  mPending.reset();
  return false;
}

void
ConfigurationDistributor::StorePart(Context& aContext,
                                    const std::string& aDigest,
                                    const std::string& aBody)
{
  if (!mPending || DigestOf(aBody) != aDigest) {
    return;
  }
  mParts.emplace(aDigest, aBody);
  FetchParts(aContext);
  BuildPending(aContext);
}

void
ConfigurationDistributor::On(Context& aContext, const PartRead& aEvent)
{
  if (aEvent.mOk) {
    StorePart(aContext, aEvent.mDigest, aEvent.mBody);
  }
}

void
ConfigurationDistributor::BuildPending(Context& aContext)
{
  if (!mPending || !MissingDigests(mPending->mHead, mParts).empty()) {
    return;
  }
  const ConfigurationHead head = std::move(mPending->mHead);
  mPending.reset();
  const Revision base = CurrentRevision();
  ConfigurationBuildResult result = BuildConfiguration(head, mParts);
  mHeads.Add(head);
  if (result.mConfiguration) {
    mCurrentHead = head;
    Accept(aContext, std::move(result.mConfiguration));
  } else {
    mRefusedHead = head;
    Refuse(aContext,
           RefusedRevision{ head.mRevision, std::move(result.mMistakes) });
  }
  EvictUnusedParts();
  SendHeadToNeighbours(aContext, head, base);
}

void
ConfigurationDistributor::Accept(Context& aContext,
                                 ConfigurationPtr aConfiguration)
{
  mRefused.reset();
  mRefusedHead.reset();
  mMayReadService = true;
  mListener.OnAccepted(aContext, std::move(aConfiguration));
}

void
ConfigurationDistributor::Refuse(Context& aContext, RefusedRevision aRefused)
{
  std::string text =
    absl::StrCat("configuration revision ", aRefused.mRevision, " refused:");
  for (const ConfigurationMistake& mistake : aRefused.mMistakes) {
    absl::StrAppend(&text, " ", ToString(mistake), ";");
  }
  mRefused = std::move(aRefused);
  aContext.Emit(LogDecision{ {}, 0, std::move(text) });
}

void
ConfigurationDistributor::EvictUnusedParts()
{
  const auto isInCurrentHead = [this](const std::string& aDigest) {
    const auto& digests = mCurrentHead->mDigests;
    return std::any_of(digests.begin(), digests.end(), [&](const auto& aPart) {
      return aPart.second == aDigest;
    });
  };
  std::erase_if(mParts, [&](const auto& aItem) {
    const bool isNeeded = mHeads.ContainsDigest(aItem.first) ||
                          (mCurrentHead && isInCurrentHead(aItem.first));
    return !isNeeded;
  });
}

} // namespace heatherfork::detail
