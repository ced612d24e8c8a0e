#include "heatherfork/detail/relay/caller_port.h"

#include <algorithm>

#include <sys/socket.h>
#include <unistd.h>

#include "heatherfork/detail/relay/sockets.h"

namespace heatherfork::relay {

namespace {

// Answers that a caller does not read, before it counts as gone.
constexpr std::size_t kMostUnread = std::size_t{ 2 } << 20;

// Bytes of the next request that are held while one is answered.
constexpr std::size_t kMostAhead = 65536;

// For a caller to take the last answer before the connection ends anyhow.
constexpr Duration kLinger = Milliseconds(2000);

constexpr int kMostAccepted = 64; // Connections taken in one turn.

constexpr int kBadRequest = 400;
constexpr int kTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;

int
StatusOf(HttpFault aFault)
{
  switch (aFault) {
    case HttpFault::kHeadTooLarge:
      return kHeadTooLarge;
    case HttpFault::kBodyTooLarge:
      return kTooLarge;
    case HttpFault::kNone:
    case HttpFault::kBadHead:
    case HttpFault::kBadBody:
      break;
  }
  return kBadRequest;
}

} // namespace

CallerConnection::CallerConnection(IoLoop& aLoop,
                                   RequestListener& aListener,
                                   const CallerLimits& aLimits,
                                   int aDescriptor)
  : mLoop(aLoop)
  , mListener(aListener)
  , mLimits(aLimits)
  , mDescriptor(aDescriptor)
  , mReader(HttpReader::Kind::kRequest,
            aLimits.mMaxHeaderBytes,
            aLimits.mMaxBodyBytes)
  , mSince(SteadyNow())
{
  UpdateInterest();
}

CallerConnection::~CallerConnection()
{
  Close();
}

void
CallerConnection::Close()
{
  if (mDescriptor >= 0) {
    mLoop.Remove(mDescriptor);
    close(mDescriptor);
    mDescriptor = -1;
  }
}

void
CallerConnection::UpdateInterest()
{
  if (mDescriptor >= 0) {
    const bool wantsRead = mIn.size() <= kMostAhead || !mIsAnswering;
    mLoop.Set(
      mDescriptor, IoInterest{ wantsRead, mWritten < mOut.size() }, *this);
  }
}

void
CallerConnection::Gone()
{
  Close();
  if (mIsAnswering) {
    mIsAnswering = false;
    mListener.OnGone(*this);
  }
}

void
CallerConnection::OnIo(bool aReadable, bool aWritable, bool aFailed)
{
  if (aWritable) {
    Write();
  }
  if (mDescriptor >= 0 && (aReadable || aFailed)) {
    ReadAll();
  }
  UpdateInterest();
}

void
CallerConnection::ReadAll()
{
  while (mDescriptor >= 0) {
    const IoResult result = ReadSome(mDescriptor, mIn);
    if (result == IoResult::kWouldBlock) {
      break;
    }
    if (result != IoResult::kOk) {
      Gone();
      return;
    }
    if (mClosesAfterWrite) {
      mIn.clear(); // Whatever follows a refused request is no request.
      continue;
    }
    if (mIsAnswering && mIn.size() > kMostAhead) {
      break;
    }
    Advance();
  }
}

void
CallerConnection::Advance()
{
  if (mIsAdvancing) {
    return; // An answer at once: the loop below goes on.
  }
  mIsAdvancing = true;
  TakeRequests();
  mIsAdvancing = false;
}

void
CallerConnection::TakeRequests()
{
  while (mDescriptor >= 0 && !mIsAnswering && !mClosesAfterWrite &&
         !mIn.empty()) {
    if (!mReader.HasBegun()) {
      mSince = SteadyNow();
    }
    mReader.Read(mIn, mBody);
    if (mReader.Fault() != HttpFault::kNone) {
      Reject(StatusOf(mReader.Fault()));
      return;
    }
    if (!mReader.IsDone()) {
      const std::string* expect =
        mReader.HasHead() ? mReader.Head().Find("Expect") : nullptr;
      if (expect != nullptr && !mHasContinued) {
        mHasContinued = true;
        Send("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    }
    const HttpHead head = mReader.Head();
    std::string body;
    body.swap(mBody);
    mReader.Reset();
    mHasContinued = false;
    mIsAnswering = true;
    mWantsClose = !head.mKeepAlive;
    mListener.OnRequest(*this, head, std::move(body));
  }
}

void
CallerConnection::Reject(int aStatus)
{
  mIsAnswering = true;
  mWantsClose = true;
  mListener.OnBadRequest(*this, aStatus);
}

void
CallerConnection::Send(std::string_view aBytes)
{
  if (mDescriptor < 0) {
    return;
  }
  if (mWritten > 0 && mWritten == mOut.size()) {
    mOut.clear();
    mWritten = 0;
  }
  mOut.append(aBytes);
  if (mOut.size() - mWritten > kMostUnread) {
    // From the loop: the listener is in the middle of an answer.
    mClosesAfterWrite = true;
    shutdown(mDescriptor, SHUT_RDWR);
    return;
  }
  Write();
}

void
CallerConnection::Write()
{
  if (WriteSome(mDescriptor, mOut, mWritten) == IoResult::kFailed) {
    shutdown(mDescriptor, SHUT_RDWR); // Found by the next read.
    mWritten = mOut.size();
  }
  if (mWritten == mOut.size()) {
    mOut.clear();
    mWritten = 0;
    if (mClosesAfterWrite && mClosingSince == Instant{}) {
      mClosingSince = SteadyNow();
      shutdown(mDescriptor, SHUT_WR);
    }
  }
  UpdateInterest();
}

void
CallerConnection::Finish(bool aKeepOpen)
{
  mIsAnswering = false;
  mSince = SteadyNow();
  if (mDescriptor < 0) {
    return;
  }
  if (!aKeepOpen) {
    // Closed only after the other side has seen the answer: unread bytes would
    // turn the close into a reset.
    mClosesAfterWrite = true;
    mIn.clear();
    Write();
    return;
  }
  // The next request may have come already.
  if (!mIn.empty()) {
    Advance();
  }
}

void
CallerConnection::Break()
{
  mIsAnswering = false;
  Close();
}

void
CallerConnection::OnTime(Instant aNow)
{
  if (mDescriptor < 0) {
    return;
  }
  if (mClosesAfterWrite) {
    const Instant since = mClosingSince == Instant{} ? mSince : mClosingSince;
    if (aNow - since > kLinger) {
      Close();
    }
    return;
  }
  if (mIsAnswering) {
    return;
  }
  if (!mReader.HasBegun()) {
    if (aNow - mSince > mLimits.mIdleTimeout) {
      Close();
    }
    return;
  }
  // A body has the idle timeout beside the head's.
  const Duration allowed = mReader.HasHead()
                             ? mLimits.mHeaderTimeout + mLimits.mIdleTimeout
                             : mLimits.mHeaderTimeout;
  if (aNow - mSince > allowed) {
    Reject(kTimeout);
  }
}

CallerPort::CallerPort(IoLoop& aLoop, RequestListener& aListener)
  : mLoop(aLoop)
  , mListener(aListener)
{
}

CallerPort::~CallerPort()
{
  StopListening();
}

absl::Status
CallerPort::Start(const Address& aAddress)
{
  absl::Status status = Listen(aAddress, mDescriptor);
  if (status.ok()) {
    mLoop.Set(mDescriptor, IoInterest{ true, false }, *this);
  }
  return status;
}

void
CallerPort::StopListening()
{
  if (mDescriptor >= 0) {
    mLoop.Remove(mDescriptor);
    close(mDescriptor);
    mDescriptor = -1;
  }
}

void
CallerPort::OnIo(bool /*aReadable*/, bool /*aWritable*/, bool /*aFailed*/)
{
  for (int n = 0; n < kMostAccepted; ++n) {
    const int descriptor = Accept(mDescriptor);
    if (descriptor < 0) {
      return;
    }
    mConnections.push_back(std::make_unique<CallerConnection>(
      mLoop, mListener, mLimits, descriptor));
  }
}

void
CallerPort::OnTime(Instant aNow)
{
  for (const auto& connection : mConnections) {
    connection->OnTime(aNow);
  }
  std::erase_if(mConnections, [](const auto& aConnection) {
    return aConnection->IsClosed();
  });
}

void
CallerPort::CloseIdle()
{
  for (const auto& connection : mConnections) {
    if (connection->IsIdle()) {
      connection->Finish(false);
    }
  }
}

} // namespace heatherfork::relay
