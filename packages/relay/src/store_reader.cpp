#include "heatherfork/detail/relay/store_reader.h"

namespace heatherfork::relay {

namespace {

// Between two questions to other nodes while the store does not answer: with
// the way of one answer well below the bounds on news.
constexpr Duration kAskPeers = Milliseconds(500);

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
StoreReader::OnTime(Instant aNow)
{
  mEnded.reset();
  if (!mIsCalling) {
    if (mPacing.IsDue(aNow, mCopy.IsWhole())) {
      Begin(aNow);
    }
    return;
  }
  const Duration limit = mPacing.Limit(mCall.mWait);
  if (aNow - mCalledAt > limit) {
    mConnection->Abandon();
    Failed("no answer within " + std::to_string(ToMilliseconds(limit)) + " ms");
  }
}

void
StoreReader::Begin(Instant aNow)
{
  mCall = StoreCall{};
  mCall.mPath = mPrefix;
  if (mCopy.IsWhole()) {
    mCall.mKind = StoreCall::Kind::kWatch;
    mCall.mAfter = mCopy.At();
    mCall.mWait = mPacing.Wait();
  } else {
    mCall.mKind = StoreCall::Kind::kRange;
    mCall.mFrom = mCopy.PageFrom();
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
  if (mIsReached || mPacing.Failures() == 0 || aNow < mAskPeerAt) {
    return false;
  }
  mAskPeerAt = aNow + kAskPeers;
  return true;
}

void
StoreReader::TakeFromPeer(Revision aAt, Items aItems)
{
  if (mCopy.TakeWhole(aAt, std::move(aItems))) {
    mHooks.mOnItems(mCopy.Held());
  }
}

bool
StoreReader::TakeNews(const StoreNews& aNews)
{
  const StoreCopy::Taken taken = mCopy.TakeNews(aNews);
  if (taken == StoreCopy::Taken::kHole) {
    return true;
  }
  if (taken == StoreCopy::Taken::kOlder) {
    return false;
  }
  mPacing.OnTold(SteadyNow());
  NoteReached("a peer");
  if (taken == StoreCopy::Taken::kChanged) {
    mHooks.mOnItems(mCopy.Held());
  }
  return false;
}

void
StoreReader::NoteReached(const char* aBy)
{
  if (!mIsReached) {
    mIsReached = true;
    mHooks.mOnReach(true, std::string("by ") + aBy);
  }
}

void
StoreReader::Failed(const std::string& aReason)
{
  mIsCalling = false;
  // What a watch missed that broke is not sure to come again by another one.
  mCopy.Restart();
  // A connection on which an answer was lost carries no other one.
  mEnded = std::move(mConnection);
  mPacing.OnFailed(SteadyNow());
  if (mIsReached) {
    mIsReached = false;
    mHooks.mOnReach(false, aReason);
  }
}

void
StoreReader::Finish(const StoreAnswer& aAnswer)
{
  switch (aAnswer.mStatus) {
    case StoreAnswer::Status::kOk:
      break;
    case StoreAnswer::Status::kHistoryGone:
      mCopy.Restart();
      mIsCalling = false;
      mPacing.OnHistoryGone();
      return;
    case StoreAnswer::Status::kMissing:
    case StoreAnswer::Status::kRefused:
    case StoreAnswer::Status::kMalformed:
      Failed("status " + std::to_string(mStatus));
      return;
  }
  mIsCalling = false;
  const Instant now = SteadyNow();
  NoteReached("its answer");
  if (mCall.mKind == StoreCall::Kind::kRange) {
    mPacing.OnPage(now);
    if (mCopy.TakePage(aAnswer)) {
      mHooks.mOnItems(mCopy.Held());
    }
    return;
  }
  mPacing.OnWatched(now);
  StoreNews news;
  if (mCopy.TakeEvents(aAnswer, news)) {
    mHooks.mOnItems(mCopy.Held());
  }
  if (mPacing.MayTell(now)) {
    mHooks.mOnNews(news);
  }
}

} // namespace heatherfork::relay
