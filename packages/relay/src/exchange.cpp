#include "heatherfork/detail/relay/exchange.h"

#include <array>
#include <cstdio>

namespace heatherfork::relay {

namespace {

// A connection that is not there after this has met a dead machine or a full
// queue; the caller's objective leaves no more.
constexpr Duration kConnectLimit = Milliseconds(500);

constexpr int kMisdirected = 421;

std::string
ChunkOf(std::string_view aBytes)
{
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string chunk = size.data();
  chunk.append(aBytes).append("\r\n");
  return chunk;
}

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

Exchange::Exchange(ExchangeContext& aContext,
                   CallerConnection& aConnection,
                   HttpHead aHead,
                   std::string aBody,
                   std::string aRequestId)
  : mContext(aContext)
  , mConnection(aConnection)
  , mHead(std::move(aHead))
  , mRequestBody(std::move(aBody))
  , mRequestId(std::move(aRequestId))
{
}

Exchange::~Exchange()
{
  Stop();
}

bool
Exchange::KeepsOpen() const
{
  return !mConnection.WantsClose() && !mContext.mIsLeaving;
}

void
Exchange::Start(const StartCall& aCall, Instant aNow)
{
  Stop();
  mCall = aCall;
  mHasReply = false;
  mReplyBody.clear();
  mEvents.Clear();
  mEventsInCall = 0;
  mStartedAt = aNow;
  mHeardAt = aNow;
  mServer = mContext.mPool.Take(aCall.mAddress, aCall.mFresh);
  mServer->Begin(mContext.mWire.WriteCall(
                   mHead, mRequestBody, aCall, aCall.mDeadline - aNow),
                 mHead.mMethod == "HEAD",
                 *this);
}

void
Exchange::Stop()
{
  mCall.reset();
  if (mServer != nullptr) {
    mServer->Abandon();
    mContext.mPool.Give(std::move(mServer));
  }
}

bool
Exchange::OnHead(const HttpHead& aHead)
{
  const ReplyFacts facts = mContext.mWire.ReadReply(aHead, mRequestId);
  if (!facts.mIsOurs) {
    return false;
  }
  mReply = aHead;
  mFacts = facts;
  mHasReply = true;
  return true;
}

// Whether the response's events go to the caller as they come.
bool
Exchange::IsPassing() const
{
  return mCall->mIsStream && IsSuccess(mReply.mStatus) && mFacts.mIsSigned &&
         !mFacts.mIsEncoded && !mFacts.mNotRun;
}

void
Exchange::OnBody(std::string_view aBytes)
{
  mHeardAt = SteadyNow();
  if (!IsPassing()) {
    mReplyBody.append(aBytes);
    return;
  }
  mEvents.Add(aBytes);
  PassEvents();
}

void
Exchange::PassEvents()
{
  const bool isFirst = mEventsInCall == 0;
  std::string out;
  while (auto event = mEvents.Take()) {
    out += ChunkOf(event->mBytes);
    ++mEventsInCall;
    if (!event->mId.empty()) {
      mLastEvent = event->mId;
    }
  }
  if (out.empty()) {
    return;
  }
  if (!mHeadSent) {
    SendHead(std::nullopt);
  }
  mConnection.Send(out);
  if (isFirst) {
    mContext.mPost(RelayBegan{ mCall->mCall });
  }
}

void
Exchange::SendHead(std::optional<std::size_t> aLength)
{
  std::string head = "HTTP/1.1 " + std::to_string(mReply.mStatus) + " " +
                     mReply.mReason + "\r\n";
  for (const HttpField& field : mReply.mFields) {
    if (!IsHopByHop(mReply, field.mName) &&
        !IsSameField(field.mName, "Content-Length")) {
      AppendField(head, field.mName, field.mValue);
    }
  }
  if (aLength) {
    const bool isHead = mHead.mMethod == "HEAD";
    const std::string* length = mReply.Find("Content-Length");
    AppendField(head,
                "Content-Length",
                isHead && length != nullptr ? *length
                                            : std::to_string(*aLength));
  } else {
    AppendField(head, "Transfer-Encoding", "chunked");
  }
  if (!KeepsOpen()) {
    AppendField(head, "Connection", "close");
  }
  head += "\r\n";
  mHeadSent = true;
  mConnection.Send(head);
}

RelayResult
Exchange::ResultOf() const
{
  if (mReply.mStatus == kMisdirected || mFacts.mWrongPlace) {
    return RelayResult::kWrongPlace;
  }
  if (mFacts.mNotRun) {
    return RelayResult::kNotRun;
  }
  if (IsSuccess(mReply.mStatus)) {
    if (mCall->mStage == RelayStage::kPrefill) {
      return RelayResult::kDone;
    }
    const bool isWhole = !IsPassing() || !mEvents.HasRest();
    return mFacts.mIsSigned && !mFacts.mIsEncoded && isWhole
             ? RelayResult::kDone
             : RelayResult::kBroken;
  }
  return mFacts.mIsSigned ? RelayResult::kRanFailed : RelayResult::kBroken;
}

void
Exchange::OnDone()
{
  const RelayResult result = ResultOf();
  ServerConnectionPtr server = std::move(mServer);
  if (mCall->mFresh) {
    // Kept ones of all nodes together would use up the replica's connections.
    server->Abandon();
  }
  mContext.mPool.Give(std::move(server));
  End(result);
}

void
Exchange::OnFailed(const std::string& /*aReason*/, bool aSent)
{
  ServerConnectionPtr server = std::move(mServer);
  mContext.mPool.Give(std::move(server));
  End(aSent ? RelayResult::kBroken : RelayResult::kNotSent);
}

void
Exchange::End(RelayResult aResult)
{
  RelayEnded ended;
  ended.mCall = mCall->mCall;
  ended.mResult = aResult;
  ended.mStatus = mHasReply ? mReply.mStatus : 0;
  ended.mEvents = mEventsInCall;
  ended.mLastEvent = mLastEvent;
  if (mCall->mStage == RelayStage::kPrefill && aResult == RelayResult::kDone) {
    ended.mCacheId = mContext.mWire.ReadCacheId(mReplyBody);
  }
  mCall.reset();
  mContext.mPost(std::move(ended));
}

void
Exchange::OnTime(Instant aNow)
{
  if (!mCall || mServer == nullptr) {
    return;
  }
  const bool isLateConnect =
    !mServer->IsEstablished() && aNow - mStartedAt > kConnectLimit;
  const Duration limit =
    mEventsInCall > 0 ? mCall->mSilenceLimit : mCall->mFirstByteLimit;
  const bool isSilent = limit > Duration{} && aNow - mHeardAt > limit;
  if (!isLateConnect && !isSilent) {
    return;
  }
  mServer->Abandon();
  mContext.mPool.Give(std::move(mServer));
  End(isLateConnect ? RelayResult::kNotSent : RelayResult::kBroken);
}

void
Exchange::Pass()
{
  if (mHeadSent) {
    mConnection.Send("0\r\n\r\n");
  } else {
    SendHead(mReplyBody.size());
    if (mHead.mMethod != "HEAD") {
      mConnection.Send(mReplyBody);
    }
  }
  mConnection.Finish(KeepsOpen());
}

void
Exchange::Refuse(const Error& aError, int aStatus, Duration aRetryAfter)
{
  mConnection.Send(mContext.mWire.WriteError(
    mRequestId, aError, aStatus, aRetryAfter, !KeepsOpen()));
  mConnection.Finish(KeepsOpen());
}

void
Exchange::Break()
{
  mConnection.Break();
}

} // namespace heatherfork::relay
