#include "incoming_link.h"

#include <utility>

#include "heatherfork/peer_frame.h"

namespace heatherfork::detail {

namespace {

using Poco::Net::PollSet;

} // namespace

IncomingLink::IncomingLink(LinkContext& aContext,
                           GreetingListener& aGreetingListener,
                           const Poco::Net::StreamSocket& aSocket)
  : mContext(aContext)
  , mGreetingListener(aGreetingListener)
  , mConnection(
      aSocket,
      Session(Session::Side::kAcceptor, aContext.mKeys, RandomNonce()))
  , mLastReceivedAt(aContext.mNow)
{
  mContext.mPoller.Add(
    mConnection.Socket(), *this, PollSet::POLL_READ | PollSet::POLL_WRITE);
}

IncomingLink::~IncomingLink()
{
  Close();
}

void
IncomingLink::OnReady(int aMode)
{
  if ((aMode & (PollSet::POLL_READ | PollSet::POLL_ERROR)) != 0) {
    const absl::Status status = Receive();
    if (!status.ok()) {
      Fail(status);
      return;
    }
  }
  Write();
}

absl::Status
IncomingLink::Receive()
{
  std::vector<SessionFrame> frames;
  const std::size_t before = mConnection.BytesReceived();
  absl::Status status = mConnection.Read(frames);
  mContext.mCounters.mBytesReceived += mConnection.BytesReceived() - before;
  mLastReceivedAt = mContext.mNow;
  for (const SessionFrame& frame : frames) {
    absl::Status handled = Handle(frame);
    if (!handled.ok()) {
      return handled;
    }
  }
  return status;
}

absl::Status
IncomingLink::Handle(const SessionFrame& aFrame)
{
  if (!mIsGreeted) {
    return HandleHello(aFrame);
  }
  switch (aFrame.mKind) {
    case FrameKind::kMessage:
      return HandleMessage(aFrame);
    case FrameKind::kPing:
      mConnection.QueueFrame(FrameKind::kPong, {});
      return absl::OkStatus();
    case FrameKind::kGoodbye:
      mHasReceivedGoodbye = true;
      return absl::OkStatus();
    default:
      return absl::InvalidArgumentError(
        "unexpected frame kind from the dialer");
  }
}

absl::Status
IncomingLink::HandleHello(const SessionFrame& aFrame)
{
  if (aFrame.mKind != FrameKind::kHello) {
    return absl::InvalidArgumentError("expected a hello frame first");
  }
  auto greeting = DecodeGreeting(aFrame.mPayload);
  if (!greeting.ok()) {
    return greeting.status();
  }
  mPeerGreeting = *std::move(greeting);
  mIsGreeted = true;
  mConnection.GetSession().SetAuthenticated();
  mConnection.QueueFrame(FrameKind::kWelcome, EncodeGreeting(mContext.mSelf));
  mGreetingListener.OnGreeting(*this);
  return absl::OkStatus();
}

absl::Status
IncomingLink::HandleMessage(const SessionFrame& aFrame)
{
  auto frame = DecodeFrame(aFrame.mPayload);
  if (frame.status().code() == absl::StatusCode::kUnimplemented) {
    // A newer node sent a message type that this one doesn't know. The
    // connection stays open for its other messages.
    ++mContext.mCounters.mFramesRejected;
    return absl::OkStatus();
  }
  if (!frame.ok()) {
    return frame.status();
  }
  if (frame->mFrom != mPeerGreeting.mNode) {
    return absl::InvalidArgumentError("sender differs from the greeting");
  }
  ++mContext.mCounters.mMessagesReceived;
  mContext.mListener.OnMessage(frame->mFrom, std::move(frame->mMessage));
  return absl::OkStatus();
}

void
IncomingLink::Write()
{
  const std::size_t before = mConnection.BytesSent();
  const absl::Status status = mConnection.Flush();
  mContext.mCounters.mBytesSent += mConnection.BytesSent() - before;
  if (!status.ok()) {
    Fail(status);
    return;
  }
  const int writeMode =
    mConnection.UnwrittenBytes() > 0 ? PollSet::POLL_WRITE : 0;
  mContext.mPoller.Update(mConnection.Socket(), PollSet::POLL_READ | writeMode);
}

void
IncomingLink::OnTimer()
{
  const PeerTransportSettings& settings = mContext.mSettings;
  const Duration timeout =
    mIsGreeted ? settings.mIdlePingInterval + (2 * settings.mPingTimeout)
               : settings.mConnectTimeout;
  if (!mIsClosed && mContext.mNow - mLastReceivedAt > timeout) {
    Fail(absl::DeadlineExceededError("nothing received within the timeout"));
  }
}

void
IncomingLink::DrainAndClose()
{
  if (mIsClosed) {
    return;
  }
  const absl::Status status = Receive();
  Fail(status.ok() ? absl::UnavailableError("replaced by a newer connection")
                   : status);
}

void
IncomingLink::OnFault(const std::string& aReason)
{
  mContext.ReportFault(aReason);
  Fail(absl::InternalError(aReason));
}

void
IncomingLink::Fail(const absl::Status& aReason)
{
  Close();
  if (aReason.code() == absl::StatusCode::kUnauthenticated ||
      aReason.code() == absl::StatusCode::kInvalidArgument) {
    ++mContext.mCounters.mFramesRejected;
  }
  if (mIsGreeted && !mHasReceivedGoodbye) {
    ++mContext.mCounters.mConnectionsLost;
    mContext.ReportLost(mPeerGreeting.mNode);
  }
}

void
IncomingLink::Close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  mContext.mPoller.Remove(mConnection.Socket());
  mConnection.Close();
}

} // namespace heatherfork::detail
