#include "outgoing_link.h"

#include <algorithm>
#include <set>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include "socket_address.h"

namespace heatherfork::detail {

namespace {

using Poco::Net::PollSet;

// Limit on sealed bytes in the connection that are not yet written. Messages
// beyond it stay in the queue, where they can still be counted as not sent.
constexpr std::size_t kMaxUnwrittenBytes = std::size_t{ 256 } << 10;

} // namespace

OutgoingLink::OutgoingLink(LinkContext& aContext,
                           Address aAddress,
                           std::uint64_t aLinkNumber)
  : mContext(aContext)
  , mAddress(std::move(aAddress))
  , mLinkNumber(aLinkNumber)
{
}

OutgoingLink::~OutgoingLink()
{
  Disconnect();
}

void
OutgoingLink::Enqueue(QueuedMessage aMessage)
{
  if (mQueuedBytes + aMessage.mFrame.size() >
      mContext.mSettings.mMaxQueuedBytes) {
    Drop(aMessage.mPeer);
    return;
  }
  mQueuedBytes += aMessage.mFrame.size();
  mQueue.push_back(std::move(aMessage));
  if (mState == State::kOpen) {
    SendQueued();
  } else {
    OnTimer();
  }
}

void
OutgoingLink::Connect()
{
  mState = State::kGreeting;
  mConnectStartedAt = mContext.mNow;
  mIsHelloSent = false;
  mKeys = mContext.mKeys;
  const auto address = ParseAddress(mAddress);
  if (!address.ok()) {
    Fail(address.status());
    return;
  }
  try {
    Poco::Net::StreamSocket socket(address->family());
    socket.connectNB(*address);
    socket.setNoDelay(true);
    mConnection = std::make_unique<Connection>(
      socket, Session(Session::Side::kDialer, mKeys, RandomNonce()));
    mContext.mPoller.Add(
      socket, *this, PollSet::POLL_READ | PollSet::POLL_WRITE);
  } catch (const Poco::Exception& e) {
    Fail(absl::UnavailableError(e.displayText()));
  }
}

void
OutgoingLink::OnReady(int aMode)
{
  if ((aMode & (PollSet::POLL_READ | PollSet::POLL_ERROR)) != 0) {
    const absl::Status status = Receive();
    if (!status.ok()) {
      Fail(status);
      return;
    }
  }
  SendQueued();
}

absl::Status
OutgoingLink::Receive()
{
  std::vector<SessionFrame> frames;
  const std::size_t before = mConnection->BytesReceived();
  absl::Status status = mConnection->Read(frames);
  mContext.mCounters.mBytesReceived += mConnection->BytesReceived() - before;
  for (const SessionFrame& frame : frames) {
    absl::Status handled = Handle(frame);
    if (!handled.ok()) {
      return handled;
    }
  }
  return status.ok() ? SendHello() : status;
}

absl::Status
OutgoingLink::SendHello()
{
  if (mIsHelloSent || !mConnection->GetSession().IsReady()) {
    return absl::OkStatus();
  }
  mIsHelloSent = true;
  Greeting greeting = mContext.mSelf;
  greeting.mLinkNumber = mLinkNumber;
  mConnection->QueueFrame(FrameKind::kHello, EncodeGreeting(greeting));
  return absl::OkStatus();
}

absl::Status
OutgoingLink::Handle(const SessionFrame& aFrame)
{
  if (mState == State::kGreeting) {
    return HandleWelcome(aFrame);
  }
  if (aFrame.mKind != FrameKind::kPong) {
    return absl::InvalidArgumentError("expected a pong frame");
  }
  mIsPingOutstanding = false;
  return absl::OkStatus();
}

absl::Status
OutgoingLink::HandleWelcome(const SessionFrame& aFrame)
{
  if (aFrame.mKind != FrameKind::kWelcome) {
    return absl::InvalidArgumentError("expected a welcome frame first");
  }
  const auto greeting = DecodeGreeting(aFrame.mPayload);
  if (!greeting.ok()) {
    return greeting.status();
  }
  mPeerNode = greeting->mNode;
  mState = State::kOpen;
  mBackoff = Duration{};
  mLastMessageAt = mContext.mNow;
  mLastPingAt = mContext.mNow;
  mIsPingOutstanding = false;
  mHasUnconfirmedMessages = false;
  return absl::OkStatus();
}

void
OutgoingLink::SendQueued()
{
  while (mState == State::kOpen && !mQueue.empty() &&
         mConnection->UnwrittenBytes() < kMaxUnwrittenBytes) {
    const QueuedMessage message = std::move(mQueue.front());
    mQueue.pop_front();
    mQueuedBytes -= message.mFrame.size();
    SendMessage(message);
  }
  Write();
}

void
OutgoingLink::SendMessage(const QueuedMessage& aMessage)
{
  if (aMessage.mPeer.mIncarnation != 0 && aMessage.mPeer != mPeerNode) {
    Drop(aMessage.mPeer);
    return;
  }
  mConnection->QueueFrame(FrameKind::kMessage, aMessage.mFrame);
  mLastMessageAt = mContext.mNow;
  mHasUnconfirmedMessages = true;
  ++mContext.mCounters.mMessagesSent;
}

void
OutgoingLink::Write()
{
  if (!mConnection) {
    return;
  }
  const std::size_t before = mConnection->BytesSent();
  const absl::Status status = mConnection->Flush();
  mContext.mCounters.mBytesSent += mConnection->BytesSent() - before;
  if (!status.ok()) {
    Fail(status);
    return;
  }
  const int writeMode =
    mConnection->UnwrittenBytes() > 0 ? PollSet::POLL_WRITE : 0;
  mContext.mPoller.Update(mConnection->Socket(),
                          PollSet::POLL_READ | writeMode);
}

void
OutgoingLink::OnTimer()
{
  const PeerTransportSettings& settings = mContext.mSettings;
  const Instant now = mContext.mNow;
  switch (mState) {
    case State::kDisconnected:
      if (!mQueue.empty() && now >= mNextConnectAt) {
        Connect();
      }
      return;
    case State::kGreeting:
      if (now - mConnectStartedAt > settings.mConnectTimeout) {
        Fail(absl::DeadlineExceededError(
          "no greeting within the connect timeout"));
      }
      return;
    case State::kOpen:
      Ping();
      return;
  }
}

void
OutgoingLink::Ping()
{
  const PeerTransportSettings& settings = mContext.mSettings;
  const Duration sinceMessage = mContext.mNow - mLastMessageAt;
  const Duration sincePing = mContext.mNow - mLastPingAt;
  if (mIsPingOutstanding) {
    if (sincePing > settings.mPingTimeout) {
      Fail(absl::DeadlineExceededError("no pong within the ping timeout"));
    }
    return;
  }
  if (sinceMessage > settings.mIdleTimeout || mKeys != mContext.mKeys) {
    CloseIfWritten();
    return;
  }
  // A pong confirms that the peer has received all earlier messages.
  if (sincePing >= (mHasUnconfirmedMessages ? settings.mPingInterval
                                            : settings.mIdlePingInterval)) {
    mConnection->QueueFrame(FrameKind::kPing, {});
    mIsPingOutstanding = true;
    mHasUnconfirmedMessages = false;
    mLastPingAt = mContext.mNow;
    Write();
  }
}

bool
OutgoingLink::IsWritten() const
{
  return mQueue.empty() && (!mConnection || mConnection->UnwrittenBytes() == 0);
}

void
OutgoingLink::CloseIfWritten()
{
  // Closing with an unread pong would reset the connection, which could discard
  // the goodbye.
  if (mState != State::kOpen || mIsPingOutstanding || !IsWritten()) {
    return;
  }
  mConnection->QueueFrame(FrameKind::kGoodbye, {});
  Write();
  Disconnect();
}

bool
OutgoingLink::IsRemovable() const
{
  return mState == State::kDisconnected && mQueue.empty() &&
         mContext.mNow > mNextConnectAt + mContext.mSettings.mMaxBackoff;
}

void
OutgoingLink::Drop(const NodeId& aPeer)
{
  ++mContext.mCounters.mMessagesDropped;
  if (aPeer.mIncarnation != 0) {
    mContext.ReportLost(aPeer);
  }
}

void
OutgoingLink::OnFault(const std::string& aReason)
{
  mContext.ReportFault(aReason);
  Fail(absl::InternalError(aReason));
}

void
OutgoingLink::Fail(const absl::Status& aReason)
{
  std::set<NodeId> lost;
  if (mState == State::kOpen) {
    lost.insert(mPeerNode);
    ++mContext.mCounters.mConnectionsLost;
  }
  if (aReason.code() == absl::StatusCode::kUnauthenticated ||
      aReason.code() == absl::StatusCode::kInvalidArgument) {
    ++mContext.mCounters.mFramesRejected;
  }
  for (const QueuedMessage& message : mQueue) {
    lost.insert(message.mPeer);
  }
  mContext.mCounters.mMessagesDropped += mQueue.size();
  mQueue.clear();
  mQueuedBytes = 0;
  Disconnect();
  BackOff();
  for (const NodeId& peer : lost) {
    if (peer.mIncarnation != 0) {
      mContext.ReportLost(peer);
    }
  }
}

void
OutgoingLink::Disconnect()
{
  mState = State::kDisconnected;
  mPeerNode = NodeId{};
  if (!mConnection) {
    return;
  }
  mContext.mPoller.Remove(mConnection->Socket());
  mConnection->Close();
  mConnection.reset();
}

void
OutgoingLink::BackOff()
{
  const PeerTransportSettings& settings = mContext.mSettings;
  mBackoff =
    std::clamp(mBackoff * 2, settings.mMinBackoff, settings.mMaxBackoff);
  std::uniform_int_distribution<Duration::rep> jitter(mBackoff.count() / 2,
                                                      mBackoff.count());
  mNextConnectAt = mContext.mNow + Duration(jitter(mContext.mRandom));
}

} // namespace heatherfork::detail
