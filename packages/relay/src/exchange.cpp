#include "heatherfork/detail/relay/exchange.h"

#include <array>
#include <cstdio>

namespace heatherfork::relay {

namespace {

// A connect that takes longer means a dead machine or a full accept queue. A
// longer wait would miss the caller's latency target.
constexpr Duration kConnectTimeout = Milliseconds(500);

constexpr int kHttpMisdirectedRequest = 421;

std::string
EncodeChunk(std::string_view aBytes)
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
Exchange::ShouldKeepOpen() const
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
  mLastReceivedAt = aNow;
  mServerConnection =
    mContext.mPool.Acquire(aCall.mAddress, aCall.mNeedsNewConnection);
  mServerConnection->Begin(
    mContext.mWire.WriteCall(
      mHead, mRequestBody, aCall, aCall.mDeadline - aNow),
    mHead.mMethod == "HEAD",
    *this);
}

void
Exchange::Stop()
{
  mCall.reset();
  if (mServerConnection != nullptr) {
    mServerConnection->Abandon();
    mContext.mPool.Release(std::move(mServerConnection));
  }
}

bool
Exchange::OnHead(const HttpHead& aHead)
{
  const ResponseFlags flags = mContext.mWire.ReadReply(aHead, mRequestId);
  if (!flags.mIsForRequest) {
    return false;
  }
  mReply = aHead;
  mFlags = flags;
  mHasReply = true;
  return true;
}

// Whether the response's events are forwarded as they arrive.
bool
Exchange::IsForwardingEvents() const
{
  return mCall->mIsStream && IsSuccess(mReply.mStatus) && mFlags.mIsSigned &&
         !mFlags.mIsEncoded && !mFlags.mIsNotRun;
}

void
Exchange::OnBody(std::string_view aBytes)
{
  mLastReceivedAt = SteadyNow();
  if (!IsForwardingEvents()) {
    mReplyBody.append(aBytes);
    return;
  }
  mEvents.Add(aBytes);
  ForwardEvents();
}

void
Exchange::ForwardEvents()
{
  const bool isFirst = mEventsInCall == 0;
  std::string out;
  while (auto event = mEvents.TakeNext()) {
    out += EncodeChunk(event->mBytes);
    ++mEventsInCall;
    if (!event->mId.empty()) {
      mLastEvent = event->mId;
    }
  }
  if (out.empty()) {
    return;
  }
  if (!mHasSentHead) {
    SendHead(std::nullopt);
  }
  mConnection.Send(out);
  if (isFirst) {
    mContext.mPost(RelayStreamStarted{ mCall->mCall });
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
  if (!ShouldKeepOpen()) {
    AppendField(head, "Connection", "close");
  }
  head += "\r\n";
  mHasSentHead = true;
  mConnection.Send(head);
}

RelayResult
Exchange::ClassifyResult() const
{
  if (mReply.mStatus == kHttpMisdirectedRequest || mFlags.mIsMisdirected) {
    return RelayResult::kWrongReplica;
  }
  if (mFlags.mIsNotRun) {
    return RelayResult::kNotRun;
  }
  if (IsSuccess(mReply.mStatus)) {
    if (mCall->mStage == RelayStage::kPrefill) {
      return RelayResult::kDone;
    }
    const bool isComplete = !IsForwardingEvents() || !mEvents.HasPartialEvent();
    return mFlags.mIsSigned && !mFlags.mIsEncoded && isComplete
             ? RelayResult::kDone
             : RelayResult::kBroken;
  }
  return mFlags.mIsSigned ? RelayResult::kRanFailed : RelayResult::kBroken;
}

void
Exchange::OnDone()
{
  const RelayResult result = ClassifyResult();
  ServerConnectionPtr server = std::move(mServerConnection);
  if (mCall->mNeedsNewConnection) {
    // Idle connections of all nodes together would exhaust the replica's
    // connection limit.
    server->Abandon();
  }
  mContext.mPool.Release(std::move(server));
  ReportEnd(result);
}

void
Exchange::OnFailed(const std::string& /*aReason*/, bool aMayHaveSent)
{
  ServerConnectionPtr server = std::move(mServerConnection);
  mContext.mPool.Release(std::move(server));
  ReportEnd(aMayHaveSent ? RelayResult::kBroken : RelayResult::kNotSent);
}

void
Exchange::ReportEnd(RelayResult aResult)
{
  RelayCallEnded ended;
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
Exchange::OnTimer(Instant aNow)
{
  if (!mCall || mServerConnection == nullptr) {
    return;
  }
  const bool isConnectTimeout =
    !mServerConnection->IsEstablished() && aNow - mStartedAt > kConnectTimeout;
  const Duration limit =
    mEventsInCall > 0 ? mCall->mSilenceLimit : mCall->mFirstByteLimit;
  const bool isReadTimeout =
    limit > Duration{} && aNow - mLastReceivedAt > limit;
  if (!isConnectTimeout && !isReadTimeout) {
    return;
  }
  mServerConnection->Abandon();
  mContext.mPool.Release(std::move(mServerConnection));
  ReportEnd(isConnectTimeout ? RelayResult::kNotSent : RelayResult::kBroken);
}

void
Exchange::ForwardResponse()
{
  if (mHasSentHead) {
    mConnection.Send("0\r\n\r\n");
  } else {
    SendHead(mReplyBody.size());
    if (mHead.mMethod != "HEAD") {
      mConnection.Send(mReplyBody);
    }
  }
  mConnection.Finish(ShouldKeepOpen());
}

void
Exchange::Refuse(const Error& aError, int aStatus, Duration aRetryAfter)
{
  mConnection.Send(mContext.mWire.WriteError(
    mRequestId, aError, aStatus, aRetryAfter, !ShouldKeepOpen()));
  mConnection.Finish(ShouldKeepOpen());
}

void
Exchange::Abort()
{
  mConnection.Abort();
}

} // namespace heatherfork::relay
