#include "heatherfork/detail/relay/store_reader.h"

#include "heatherfork/detail/relay/answer_limits.h"

namespace heatherfork::relay {

namespace {

// Interval between requests to peers while the store does not answer. Together
// with a round trip it stays well below the limits on the age of the data.
constexpr Duration kAskPeerInterval = Milliseconds(500);

} // namespace

StoreReader::StoreReader(IoLoop& aLoop,
                         const RelayWire& aWire,
                         Address aStore,
                         std::string aPrefix,
                         StorePace aPace,
                         StoreHooks aHooks)
  : mLoop(aLoop)
  , mWire(aWire)
  , mStore(std::move(aStore))
  , mPrefix(std::move(aPrefix))
  , mHooks(std::move(aHooks))
  , mCopy(mHooks.mDiffers)
  , mPacing(aPace,
            SteadyNow(),
            static_cast<std::uint64_t>(SteadyNow().time_since_epoch().count()))
{
}

StoreReader::~StoreReader() = default;

void
StoreReader::OnTimer(Instant aNow)
{
  mRetiredConnection.reset();
  if (!mIsCalling) {
    if (mPacing.IsDue(aNow, mCopy.IsComplete())) {
      Begin(aNow);
    }
    return;
  }
  mConnection->OnTimer(aNow);
  if (!mIsCalling) {
    return;
  }
  const Duration limit = mPacing.CallTimeout(mCall.mWait);
  if (aNow - mCallStartedAt > limit) {
    mConnection->Abandon();
    HandleFailure("no answer within " + std::to_string(ToMilliseconds(limit)) +
                  " ms");
  }
}

void
StoreReader::Begin(Instant aNow)
{
  mCall = StoreCall{};
  mCall.mPath = mPrefix;
  mCall.mEra = mCopy.HeldEra();
  if (mCopy.IsComplete()) {
    mCall.mKind = StoreCall::Kind::kWatch;
    mCall.mAfter = mCopy.HeldRevision();
    mCall.mWait = mPacing.WatchWait();
  } else {
    mCall.mKind = StoreCall::Kind::kRange;
    mCall.mFrom = mCopy.PageStartKey();
    if (mCall.mFrom.empty()) {
      mRangeStartedAt = aNow;
    }
  }
  mIsCalling = true;
  mCallStartedAt = aNow;
  mHead = HttpHead{};
  mBody.clear();
  if (mConnection == nullptr || !mConnection->CanBeReused()) {
    mConnection = std::make_unique<ServerConnection>(mLoop, mStore);
  }
  mConnection->Begin(mWire.WriteStoreCall(mStore, mCall), false, *this);
}

bool
StoreReader::OnHead(const HttpHead& aHead)
{
  mHead = aHead;
  return true;
}

void
StoreReader::OnBody(std::string_view aBytes)
{
  if (mBody.size() + aBytes.size() > kMaxStoreAnswerBytes) {
    mConnection->Abandon();
    mBody = std::string{};
    HandleFailure("answer exceeds " + std::to_string(kMaxStoreAnswerBytes) +
                  " bytes");
    return;
  }
  mBody.append(aBytes);
}

void
StoreReader::OnDone()
{
  HandleAnswer(mWire.ReadStoreAnswer(mCall, mHead, mBody));
}

void
StoreReader::OnFailed(const CallFailure& aFailure)
{
  HandleFailure(aFailure.mReason);
}

bool
StoreReader::ShouldAskPeer(Instant aNow)
{
  if (mIsReachable || mPacing.Failures() == 0 || aNow < mNextAskPeerAt) {
    return false;
  }
  mNextAskPeerAt = aNow + kAskPeerInterval;
  return true;
}

void
StoreReader::ApplyPeerSnapshot(StoreEra aEra, Revision aAt, Items aItems)
{
  std::erase_if(aItems, [this](const auto& aItem) {
    return !mHooks.mIsUseful(aItem.second);
  });
  if (mCopy.ApplySnapshot(aEra, aAt, std::move(aItems))) {
    PublishItems();
  }
}

void
StoreReader::DropUseless(std::vector<StoreItem>& aItems) const
{
  for (StoreItem& item : aItems) {
    if (!mHooks.mIsUseful(item)) {
      item.mIsDeleted = true;
      item.mValue = std::string{};
    }
  }
}

void
StoreReader::PublishItems()
{
  if (mPublishedEra && mCopy.HeldEra() > *mPublishedEra) {
    mHooks.mOnRestored(mCopy.HeldEra());
  }
  mPublishedEra = mCopy.HeldEra();
  mHooks.mOnItems(mCopy.HeldItems());
}

bool
StoreReader::ApplyUpdate(StoreUpdate aUpdate)
{
  DropUseless(aUpdate.mItems);
  const StoreCopy::MergeResult result = mCopy.ApplyUpdate(aUpdate);
  if (result == StoreCopy::MergeResult::kGap) {
    return true;
  }
  if (result == StoreCopy::MergeResult::kStale) {
    return false;
  }
  mPacing.OnPeerUpdate(SteadyNow());
  MarkReachable("a peer's update");
  if (result == StoreCopy::MergeResult::kChanged) {
    PublishItems();
  }
  return false;
}

void
StoreReader::MarkReachable(const char* aSource)
{
  if (!mIsReachable) {
    mIsReachable = true;
    mHooks.mOnReachability(true, std::string("by ") + aSource);
  }
}

void
StoreReader::HandleFailure(const std::string& aReason)
{
  mIsCalling = false;
  // Another watch may not repeat the changes that the failed one missed.
  mCopy.Restart();
  // A connection that lost a response is not reused.
  mRetiredConnection = std::move(mConnection);
  mPacing.OnFailed(SteadyNow());
  if (mIsReachable) {
    mIsReachable = false;
    mHooks.mOnReachability(false, aReason);
  }
}

void
StoreReader::ReadAgain()
{
  mIsCalling = false;
  mCopy.Restart();
  mPacing.OnRestart(SteadyNow());
}

void
StoreReader::HandleAnswer(StoreAnswer aAnswer)
{
  switch (aAnswer.mStatus) {
    case StoreAnswer::Status::kOk:
      break;
    case StoreAnswer::Status::kCompacted:
      ReadAgain();
      return;
    case StoreAnswer::Status::kMissing:
    case StoreAnswer::Status::kRefused:
    case StoreAnswer::Status::kMalformed:
      HandleFailure("status " + std::to_string(mHead.mStatus));
      return;
  }
  switch (mCopy.Check(mCall, aAnswer)) {
    case StoreCopy::AnswerFit::kFits:
      break;
    case StoreCopy::AnswerFit::kRestart:
      ReadAgain();
      return;
    case StoreCopy::AnswerFit::kStale:
      HandleFailure("answer of an earlier era than " +
                    std::to_string(mCopy.HeldEra()));
      return;
    case StoreCopy::AnswerFit::kEndless:
      HandleFailure("a page without a key to continue after");
      return;
  }
  mIsCalling = false;
  const Instant now = SteadyNow();
  DropUseless(aAnswer.mItems);
  if (mCall.mKind == StoreCall::Kind::kRange) {
    mPacing.OnPage(now);
    if (!aAnswer.mHasMore) {
      mPacing.OnRangeRead(now);
      MarkReachable("the store's answer");
    }
    if (mCopy.ApplyPage(aAnswer)) {
      PublishItems();
    }
    if (!aAnswer.mHasMore && mCopy.IsComplete()) {
      Confirm(mRangeStartedAt);
    }
    return;
  }
  MarkReachable("the store's answer");
  mPacing.OnWatchAnswer(now);
  StoreUpdate update;
  if (mCopy.ApplyWatchAnswer(aAnswer, update)) {
    PublishItems();
  }
  Confirm(mCallStartedAt);
  if (mPacing.CanUpdatePeers(now)) {
    UpdatePeers(std::move(update), now);
  } else {
    mUnsentUpdate.reset();
  }
}

// An answer that has waited for changes was complete when it was written, but
// that time is unknown: only the question is surely older.
void
StoreReader::Confirm(Instant aAskedAt)
{
  if (mHooks.mOnConfirmed) {
    mHooks.mOnConfirmed(aAskedAt);
  }
}

void
StoreReader::UpdatePeers(StoreUpdate aUpdate, Instant aNow)
{
  if (mUnsentUpdate && mUnsentUpdate->mEra == aUpdate.mEra &&
      mUnsentUpdate->mAt == aUpdate.mFrom) {
    aUpdate.mFrom = mUnsentUpdate->mFrom;
  }
  if (aUpdate.mItems.empty() && !mPacing.IsPeerUpdateDue(aNow, mUpdateSentAt)) {
    mUnsentUpdate = std::move(aUpdate);
    return;
  }
  mUnsentUpdate.reset();
  mUpdateSentAt = aNow;
  mHooks.mOnUpdate(aUpdate);
}

} // namespace heatherfork::relay
