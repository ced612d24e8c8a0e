#include "heatherfork/detail/relay/store_reader.h"

#include <algorithm>

namespace heatherfork::relay {

namespace {

constexpr int kMostDoublings = 8;

// Between two questions to other nodes while the store does not answer: with
// the way of one answer well below the bounds on news.
constexpr Duration kAskPeers = Milliseconds(500);

} // namespace

StoreReader::StoreReader(IoLoop& aLoop,
                         const RelayWire& aWire,
                         Address aStore,
                         std::string aPrefix,
                         StorePace aPace,
                         std::function<void(const Items&)> aOnItems,
                         std::function<void(bool, const std::string&)> aOnReach)
  : mLoop(aLoop)
  , mWire(aWire)
  , mStore(std::move(aStore))
  , mPrefix(std::move(aPrefix))
  , mPace(aPace)
  , mOnItems(std::move(aOnItems))
  , mOnReach(std::move(aOnReach))
  , mRandom(static_cast<std::uint64_t>(SteadyNow().time_since_epoch().count()))
{
}

StoreReader::~StoreReader() = default;

void
StoreReader::OnTime(Instant aNow)
{
  mEnded.reset();
  if (!mIsCalling) {
    if (aNow >= mNextAt) {
      Begin(aNow);
    }
    return;
  }
  if (aNow - mCalledAt > mCall.mWait + mPace.mTimeout) {
    mConnection->Abandon();
    Failed("no answer within " +
           std::to_string(ToMilliseconds(mCall.mWait + mPace.mTimeout)) +
           " ms");
  }
}

void
StoreReader::Begin(Instant aNow)
{
  mCall = StoreCall{};
  mCall.mPath = mPrefix;
  if (mIsWhole) {
    mCall.mKind = StoreCall::Kind::kWatch;
    mCall.mAfter = mAt;
    mCall.mWait = mPace.mWait;
  } else {
    mCall.mKind = StoreCall::Kind::kRange;
    mCall.mFrom = mPageFrom;
  }
  mIsCalling = true;
  mCalledAt = aNow;
  mStatus = 0;
  mBody.clear();
  if (mConnection == nullptr || !mConnection->MayBeReused()) {
    mConnection = std::make_unique<ServerConnection>(mLoop, mStore);
  }
  mConnection->Begin(mWire.WriteStoreCall(mStore, mCall), false, *this);
}

bool
StoreReader::OnHead(const HttpHead& aHead)
{
  mStatus = aHead.mStatus;
  return true;
}

void
StoreReader::OnBody(std::string_view aBytes)
{
  mBody.append(aBytes);
}

void
StoreReader::OnDone()
{
  Finish(mWire.ReadStoreAnswer(mCall, mStatus, mBody));
}

void
StoreReader::OnFailed(const std::string& aReason, bool /*aSent*/)
{
  Failed(aReason);
}

bool
StoreReader::WantsPeer(Instant aNow)
{
  if (mIsReached || mFailures == 0 || aNow < mAskPeerAt) {
    return false;
  }
  mAskPeerAt = aNow + kAskPeers;
  return true;
}

void
StoreReader::TakeFromPeer(Revision aAt, Items aItems)
{
  if (mIsReached || aAt <= mAt) {
    return;
  }
  mAt = aAt;
  mItems = std::move(aItems);
  mOnItems(mItems);
}

void
StoreReader::Failed(const std::string& aReason)
{
  mIsCalling = false;
  // What a watch missed that broke is not sure to come again by another one.
  mIsWhole = false;
  mPageFrom.clear();
  mPages.clear();
  // A connection on which an answer was lost carries no other one.
  mEnded = std::move(mConnection);
  const int doublings = std::min(mFailures, kMostDoublings);
  const Duration most =
    std::min(mPace.mRetry * (1 << doublings), mPace.mMostRetry);
  // Half of the wait is drawn, so that nodes do not ask in step.
  const Duration wait =
    most / 2 + Duration(static_cast<std::int64_t>(
                 mRandom() % static_cast<std::uint64_t>(most.count() / 2 + 1)));
  ++mFailures;
  mNextAt = SteadyNow() + wait;
  if (mIsReached) {
    mIsReached = false;
    mOnReach(false, aReason);
  }
}

void
StoreReader::Finish(const StoreAnswer& aAnswer)
{
  switch (aAnswer.mStatus) {
    case StoreAnswer::Status::kOk:
      break;
    case StoreAnswer::Status::kHistoryGone:
      mIsWhole = false;
      mPageFrom.clear();
      mPages.clear();
      mIsCalling = false;
      mNextAt = Instant{};
      return;
    case StoreAnswer::Status::kMissing:
    case StoreAnswer::Status::kRefused:
    case StoreAnswer::Status::kMalformed:
      Failed("status " + std::to_string(mStatus));
      return;
  }
  mIsCalling = false;
  mFailures = 0;
  if (!mIsReached) {
    mIsReached = true;
    mOnReach(true, "");
  }
  mNextAt = SteadyNow() + (mIsWhole ? mPace.mPause : Duration{});
  if (mIsWhole) {
    TakeEvents(aAnswer);
  } else {
    TakePage(aAnswer);
  }
}

void
StoreReader::TakePage(const StoreAnswer& aAnswer)
{
  // Pages are no snapshot: the watch goes on from the first page's revision,
  // and what changed between the pages comes again.
  if (mPageFrom.empty()) {
    mAt = aAnswer.mAt;
  }
  for (const StoreItem& item : aAnswer.mItems) {
    mPages[item.mKey] = item;
    mPageFrom = item.mKey;
  }
  if (aAnswer.mHasMore && !aAnswer.mItems.empty()) {
    return;
  }
  mIsWhole = true;
  mPageFrom.clear();
  mItems.swap(mPages);
  mPages.clear();
  mOnItems(mItems);
}

void
StoreReader::TakeEvents(const StoreAnswer& aAnswer)
{
  bool hasChanged = false;
  for (const StoreItem& item : aAnswer.mItems) {
    StoreItem& held = mItems[item.mKey];
    if (item.mRevision <= held.mRevision) {
      continue;
    }
    hasChanged = hasChanged || item.mValue != held.mValue || item.mIsDeleted;
    held = item;
    if (item.mIsDeleted) {
      mItems.erase(item.mKey);
    }
  }
  mAt = std::max(mAt, aAnswer.mAt);
  if (hasChanged) {
    mOnItems(mItems);
  }
}

} // namespace heatherfork::relay
