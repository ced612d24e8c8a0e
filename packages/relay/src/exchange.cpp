#include "heatherfork/detail/relay/exchange.h"

#include <array>
#include <cstdio>

#include "heatherfork/detail/relay/node_memory.h"

namespace heatherfork::relay {

namespace {

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
                   CallerResponse aResponse,
                   HttpHead aHead,
                   std::string aBody,
                   std::string aRequestId)
  : mContext(aContext)
  , mResponse(std::move(aResponse))
  , mHead(std::move(aHead))
  , mRequestBody(std::make_shared<const std::string>(std::move(aBody)))
  , mRequestId(std::move(aRequestId))
  , mReplyBody(mContext.mAnswerBudget)
  , mPace(mContext.mStreamBytesPerSecond)
{
}

Exchange::~Exchange()
{
  Stop();
}

bool
Exchange::ShouldKeepOpen() const
{
  return !mResponse.WantsClose() && !mContext.mIsLeaving;
}

void
Exchange::Start(const StartCall& aCall, Instant aNow)
{
  Stop();
  mCall = aCall;
  mHasReply = false;
  mReplyBody.Clear();
  mReceivedBytes = 0;
  mComments.clear();
  mEvents.Clear();
  mEventsInCall = 0;
  mPace = StreamPace(mContext.mStreamBytesPerSecond);
  mHasLoggedPause = false;
  mIsReaderBehind = false;
  mStartedAt = aNow;
  mLastReceivedAt = aNow;
  mIsSilent = false;
  mServerConnection = mContext.mPool.Acquire(
    aCall.mAddress, aCall.mNeedsNewConnection, mRequestId);
  std::string text = mContext.mWire.WriteCallHead(
    mHead, mRequestBody->size(), aCall, aCall.mDeadline - aNow);
  // One write for a small request; a large body is not held twice.
  const bool isSmall = mRequestBody->size() <= kMaxSmallBodyBytes;
  if (isSmall) {
    text += *mRequestBody;
  }
  mServerConnection->Begin(std::move(text),
                           mHead.mMethod == "HEAD",
                           *this,
                           isSmall ? nullptr : mRequestBody);
}

void
Exchange::Drop()
{
  Stop();
  mRequestBody = nullptr;
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

void
Exchange::OnConnected()
{
  mContext.mConnectTimes.Observe(SteadyNow() - mStartedAt);
}

// A connect, or a pause of the process, may lie between the decision and now.
bool
Exchange::MaySend()
{
  return !mCall || mCall->mSendBefore == Instant{} ||
         SteadyNow() < mCall->mSendBefore;
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
  const bool namesLimit = flags.mLimit || flags.mIsLimitMalformed;
  if ((namesLimit || mCall->mIsLimited) && !flags.mIsMisdirected) {
    mContext.mPost(
      RelayLimitSeen{ mCall->mCall, flags.mLimit, flags.mIsLimitMalformed });
  }
  if (flags.mIsLeaving && !flags.mIsMisdirected) {
    mContext.mPost(RelayLeavingSeen{ mCall->mCall });
  }
  if (flags.mBackoff || flags.mIsBackoffMalformed) {
    mContext.mPost(RelayBackoffSeen{ mCall->mCall, flags.mBackoff });
  }
  return true;
}

// Whether the response's events are forwarded as they arrive.
bool
Exchange::IsForwardingEvents() const
{
  return mCall->mIsStream && IsSuccess(mReply.mStatus) && mFlags.mIsSigned &&
         !mFlags.mIsEncoded && !mFlags.mIsNotRun;
}

// Only what reaches the caller, or names the KV cache, is worth its memory.
bool
Exchange::IsDeliverable() const
{
  return mCall->mStage != RelayStage::kPrefill && mFlags.mIsSigned &&
         !mFlags.mIsEncoded && !mFlags.mIsNotRun && !mFlags.mIsMisdirected;
}

// Callers that have stopped reading give way to others.
bool
Exchange::BufferReply(std::string_view aBytes)
{
  const std::size_t limit =
    IsDeliverable() ? mContext.mMaxAnswerBytes : kMaxInternalAnswerBytes;
  if (mReceivedBytes > limit) {
    return false;
  }
  while (!mReplyBody.TryAppend(aBytes)) {
    if (!mContext.mFreeAnswerRoom()) {
      return false;
    }
  }
  return true;
}

void
Exchange::OnBody(std::string_view aBytes)
{
  mReceivedBytes += aBytes.size();
  if (!IsForwardingEvents()) {
    RecordProgress();
    if (!BufferReply(aBytes)) {
      EndCall(RelayResult::kBroken,
              "answer exceeds its limit after " +
                std::to_string(mReceivedBytes) + " bytes");
    }
    return;
  }
  const int eventsBefore = mEventsInCall;
  mEvents.Add(aBytes);
  if (!ForwardEvents()) {
    EndCall(RelayResult::kBroken, "stream without events");
    return;
  }
  PauseIfTooFast(aBytes.size(), mEventsInCall - eventsBefore);
}

// Comments are forwarded with the next event but show no progress: a stalled
// replica may send them without end. Nothing is sent before the first event, so
// that a call that fails before it can still be refused or repeated.
bool
Exchange::ForwardEvents()
{
  const bool isFirst = mEventsInCall == 0;
  EventBatch batch = mEvents.TakeAll();
  std::string out;
  if (batch.mEvents > 0) {
    out = EncodeChunk(mComments + batch.mBytes);
    mComments.clear();
    RecordProgress();
    mEventsInCall += batch.mEvents;
  }
  mComments += batch.mComments;
  if (!batch.mLastId.empty()) {
    mLastEvent = std::move(batch.mLastId);
  }
  // Events before the other bytes count as sent, so they are sent.
  const bool hasOnlyEvents =
    !mEvents.IsEventTooLarge() && mComments.size() <= kMaxCommentBytes;
  if (out.empty()) {
    return hasOnlyEvents;
  }
  if (!mHasSentHead) {
    SendHead(std::nullopt);
  }
  SendEvents(out);
  if (isFirst) {
    mContext.mPost(RelayStreamStarted{ mCall->mCall });
  }
  return hasOnlyEvents;
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
  mResponse.Send(head);
}

// Without a length or chunks, an end before the first event tells nothing: the
// replica may have closed before it sent one.
bool
Exchange::IsStreamCut() const
{
  return IsForwardingEvents() && (mEvents.HasPartialEvent() ||
                                  (!mReply.mIsFramed && mEventsInCall == 0));
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
    return mFlags.mIsSigned && !mFlags.mIsEncoded && !IsStreamCut()
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
Exchange::OnFailed(const CallFailure& aFailure)
{
  ServerConnectionPtr server = std::move(mServerConnection);
  mContext.mPool.Release(std::move(server));
  if (aFailure.mIsSilent) {
    mContext.mLog(
      { "call-silent", mRequestId, "address=" + mCall->mAddress.mValue });
  }
  ReportEnd(aFailure.mMayHaveSent ? RelayResult::kBroken
                                  : RelayResult::kNotSent,
            aFailure.mReason,
            aFailure.mMayHaveSent && aFailure.mIsConnectionLost);
}

void
Exchange::EndCall(RelayResult aResult, std::string aReason)
{
  mServerConnection->Abandon();
  mContext.mPool.Release(std::move(mServerConnection));
  ReportEnd(aResult, std::move(aReason));
}

void
Exchange::ReportEnd(RelayResult aResult,
                    std::string aReason,
                    bool aIsConnectionLost)
{
  RelayCallEnded ended;
  ended.mCall = mCall->mCall;
  ended.mResult = aResult;
  ended.mStatus = mHasReply ? mReply.mStatus : 0;
  ended.mEvents = mEventsInCall;
  ended.mLastEvent = mLastEvent;
  ended.mReason = std::move(aReason);
  ended.mIsConnectionLost = aIsConnectionLost;
  if (mCall->mStage == RelayStage::kPrefill && aResult == RelayResult::kDone) {
    ended.mCacheId = mContext.mWire.ReadCacheId(mReplyBody.Text());
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
  if (!mServerConnection->IsEstablished() &&
      aNow - mStartedAt > mContext.mConnectTimes.Limit()) {
    EndCall(RelayResult::kNotSent, "no connection in time");
    return;
  }
  mIsReaderBehind = mIsReaderBehind && mResponse.UnreadBytes() > 0;
  if (mServerConnection->IsReadingPaused() && !mIsReaderBehind &&
      mPace.MayRead(aNow)) {
    mServerConnection->ResumeReading();
  }
  ReportSilence(aNow);
  CheckServerConnection(aNow);
}

void
Exchange::CheckServerConnection(Instant aNow)
{
  const bool wasPaused = mServerConnection->IsPeerPaused();
  mServerConnection->OnTimer(aNow);
  if (mServerConnection != nullptr && !wasPaused &&
      mServerConnection->IsPeerPaused()) {
    mContext.mLog({ "call-paused",
                    mRequestId,
                    "address=" + mCall->mAddress.mValue +
                      " body_bytes=" + std::to_string(mRequestBody->size()) });
  }
}

void
Exchange::RecordProgress()
{
  mLastReceivedAt = SteadyNow();
  if (mIsSilent) {
    mIsSilent = false;
    mContext.mPost(RelayCallSilence{ mCall->mCall, false });
  }
}

void
Exchange::ReportSilence(Instant aNow)
{
  const Duration limit =
    mEventsInCall > 0 ? Duration{} : mCall->mFirstByteLimit;
  const Instant since = mIsSilent ? mSilenceReportedAt : mLastReceivedAt;
  if (limit > Duration{} && aNow - since > limit) {
    mIsSilent = true;
    mSilenceReportedAt = aNow;
    mContext.mPost(RelayCallSilence{ mCall->mCall, true });
  }
}

// Events or the end of the call may have arrived since the silence was
// reported.
void
Exchange::EndIfSilent(const RelayCallId& aCall)
{
  if (mCall && mCall->mCall == aCall && mIsSilent) {
    EndCall(RelayResult::kBroken, "replica is silent");
  }
}

void
Exchange::ForwardResponse()
{
  if (mHasSentHead && !IsSuccess(mReply.mStatus)) {
    // The run that resumed the stream failed: the answer must not look
    // complete.
    mResponse.Abort();
    return;
  }
  if (mHasSentHead) {
    if (!mComments.empty()) {
      mResponse.Send(EncodeChunk(mComments));
    }
    mResponse.Send("0\r\n\r\n");
  } else {
    // A stream without events leaves only its comments.
    const bool hasComments = !mComments.empty();
    SendHead(hasComments ? mComments.size() : mReplyBody.Text().size());
    if (mHead.mMethod != "HEAD" && hasComments) {
      mResponse.Send(mComments);
    } else if (mHead.mMethod != "HEAD") {
      mResponse.Send(std::move(mReplyBody));
    }
  }
  mResponse.Finish(ShouldKeepOpen());
}

void
Exchange::Refuse(const Error& aError, int aStatus, Duration aRetryAfter)
{
  if (mHasSentHead) {
    mResponse.Abort(); // An error can't follow the head of a success.
    return;
  }
  mResponse.Send(mContext.mWire.WriteError(
    mRequestId, aError, aStatus, aRetryAfter, !ShouldKeepOpen()));
  mResponse.Finish(ShouldKeepOpen());
}

void
Exchange::Abort()
{
  mResponse.Abort();
}

} // namespace heatherfork::relay
