#include "heatherfork/detail/relay/caller_port.h"

#include <cerrno>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include "heatherfork/detail/relay/sockets.h"

namespace heatherfork::relay {

namespace {

// A caller that leaves more unread is disconnected. What is charged to a budget
// does not count.
constexpr std::size_t kMaxUnreadBytes = std::size_t{ 2 } << 20;

// Bytes of the next request buffered while the current one is answered.
constexpr std::size_t kMaxReadAheadBytes = 65536;

// Time for a caller to read the last response before the connection closes.
constexpr Duration kLingerTimeout = Milliseconds(2000);

// Bounded, so that a burst of new connections does not delay open ones.
constexpr int kMaxAcceptsPerWakeup = 64;

// Reads of one connection per event of the loop, so that a caller that sends
// without end does not hold up the others.
constexpr int kMaxReadsPerEvent = 16;

constexpr int kHttpBadRequest = 400;
constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpContentTooLarge = 413;
constexpr int kHttpHeadTooLarge = 431;

int
StatusOf(HttpFault aFault)
{
  switch (aFault) {
    case HttpFault::kHeadTooLarge:
      return kHttpHeadTooLarge;
    case HttpFault::kBodyTooLarge:
      return kHttpContentTooLarge;
    case HttpFault::kNone:
    case HttpFault::kBadHead:
    case HttpFault::kBadBody:
      break;
  }
  return kHttpBadRequest;
}

} // namespace

CallerConnection::CallerConnection(IoLoop& aLoop,
                                   RequestListener& aListener,
                                   BodyIntake& aIntake,
                                   const CallerLimits& aLimits,
                                   int aDescriptor)
  : mLoop(aLoop)
  , mListener(aListener)
  , mIntake(aIntake)
  , mLimits(aLimits)
  , mDescriptor(aDescriptor)
  , mReader(HttpReader::Kind::kRequest,
            aLimits.mMaxHeaderBytes,
            aLimits.mMaxBodyBytes)
  , mPeriodStart(SteadyNow())
{
}

// A response keeps its connection, so none is open here.
CallerConnection::~CallerConnection()
{
  End();
}

// The only place that closes the socket.
void
CallerConnection::End()
{
  if (mDescriptor < 0) {
    return;
  }
  mLoop.Remove(mDescriptor);
  close(mDescriptor);
  mDescriptor = -1;
  mOutput.Clear();
  EndBody();
  if (std::exchange(mIsAnswering, false)) {
    mListener.OnDisconnect(*this);
  }
}

// Called while the listener writes the response, so it can't be notified here.
// The loop or the timer ends the connection next.
void
CallerConnection::Cut()
{
  mIsCut = true;
  mOutput.Clear();
  shutdown(mDescriptor, SHUT_RDWR);
  UpdateInterest();
}

void
CallerConnection::UpdateInterest()
{
  if (mDescriptor >= 0) {
    const bool wantsRead =
      !mIsWaitingForRoom && (mInput.size() <= kMaxReadAheadBytes || IsReady());
    mLoop.Set(mDescriptor, IoInterest{ wantsRead, !mOutput.IsEmpty() }, *this);
  }
}

void
CallerConnection::OnIo(bool aReadable, bool aWritable, bool aFailed)
{
  if (aWritable && !mIsCut) {
    Write();
    ProcessInput();
  }
  if (mIsCut) {
    End();
    return;
  }
  if (aReadable || aFailed) {
    ReadAll();
  }
  UpdateInterest();
}

void
CallerConnection::ReadAll()
{
  for (int reads = 0; mDescriptor >= 0 && reads < kMaxReadsPerEvent; ++reads) {
    const IoResult result = ReadSome(mDescriptor, mInput);
    if (result == IoResult::kWouldBlock) {
      break;
    }
    if (result != IoResult::kOk) {
      if (result == IoResult::kSilent) {
        Report(ReaderEvent::kSilent, SteadyNow());
      }
      End();
      return;
    }
    if (mClosesAfterWrite) {
      DiscardInput();
      continue;
    }
    if (mIsCut || (!IsReady() && mInput.size() > kMaxReadAheadBytes)) {
      break;
    }
    ProcessInput();
    if (mIsWaitingForRoom) {
      break;
    }
  }
}

void
CallerConnection::ProcessInput()
{
  if (mIsProcessingInput) {
    return; // The listener answered synchronously; the outer call continues.
  }
  mIsProcessingInput = true;
  ProcessRequests();
  mIsProcessingInput = false;
}

// A caller that doesn't read its answers gets no further ones: they would fill
// the memory.
void
CallerConnection::ProcessRequests()
{
  while (mDescriptor >= 0 && IsReady() && !mClosesAfterWrite && !mIsCut &&
         !mIsWaitingForRoom && (!mInput.empty() || mReader.IsDone())) {
    if (!mReader.HasBegun()) {
      mPeriodStart = SteadyNow();
    }
    mReader.Read(mInput, mBody);
    if (mReader.Fault() != HttpFault::kNone) {
      Reject(StatusOf(mReader.Fault()));
      return;
    }
    if (mReader.HasHead() && mReader.Head().mHasBody && !AdmitBody()) {
      return;
    }
    if (!mReader.IsDone()) {
      const std::string* expect =
        mReader.HasHead() ? mReader.Head().Find("Expect") : nullptr;
      if (expect != nullptr && !mHasSentContinue) {
        mHasSentContinue = true;
        Send("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    }
    const HttpHead head = mReader.TakeHead();
    if (mBodyId != 0) {
      mIntake.Complete(mBodyId, mBody.size());
    }
    std::string body;
    body.swap(mBody);
    mReader.Reset();
    mHasSentContinue = false;
    BeginAnswer();
    mWantsClose = !head.mKeepAlive;
    mListener.OnRequest(
      CallerResponse(shared_from_this()), head, std::move(body));
  }
}

void
CallerConnection::Reject(int aStatus)
{
  EndBody();
  BeginAnswer();
  mWantsClose = true;
  mListener.OnBadRequest(CallerResponse(shared_from_this()), aStatus);
}

void
CallerConnection::Send(std::string_view aBytes)
{
  if (mDescriptor >= 0 && !mIsCut) {
    mOutput.Add(aBytes);
    Write();
  }
}

bool
CallerConnection::TrySend(std::string_view aBytes, AnswerBudget& aBudget)
{
  if (mDescriptor >= 0 && !mIsCut) {
    if (!mOutput.TryAdd(aBytes, aBudget)) {
      return false;
    }
    Write();
  }
  return true;
}

void
CallerConnection::Send(BudgetedText aBody)
{
  if (mDescriptor >= 0 && !mIsCut) {
    mOutput.Add(std::move(aBody));
    Write();
  }
}

void
CallerConnection::Write()
{
  const std::size_t before = mOutput.Size();
  const IoResult result = mOutput.Write(mDescriptor);
  if (result == IoResult::kSilent) {
    Report(ReaderEvent::kSilent, SteadyNow());
  }
  if (IsLost(result) || mOutput.UnbudgetedBytes() > kMaxUnreadBytes) {
    Cut();
    return;
  }
  if (mOutput.Size() < before) {
    mWrittenAt = SteadyNow();
    mDelivery.OnWritten(mWrittenAt);
  }
  if (mOutput.IsEmpty() && mClosesAfterWrite) {
    shutdown(mDescriptor, SHUT_WR);
  }
  UpdateInterest();
}

void
CallerConnection::Finish(bool aKeepOpen)
{
  mIsAnswering = false;
  EndBody();
  mPeriodStart = SteadyNow();
  if (mDescriptor < 0 || mIsCut) {
    return;
  }
  if (!aKeepOpen || mIsUnread) {
    // Closing with unread input would reset the connection and could discard
    // the response, so first shut down writing and let the caller read it.
    mClosesAfterWrite = true;
    mInput.clear();
    Write();
    return;
  }
  // The next request may already be buffered.
  if (!mInput.empty()) {
    ProcessInput();
  }
}

// What arrived since the last wait of the loop is read first.
void
CallerConnection::CloseIfIdle()
{
  if (mDescriptor < 0 || mIsCut || mClosesAfterWrite || !IsIdle() ||
      !mOutput.IsEmpty()) {
    return;
  }
  ReadAll();
  if (mDescriptor >= 0 && !mIsCut && !mClosesAfterWrite && IsIdle()) {
    Finish(false);
  }
}

void
CallerConnection::Abort()
{
  mIsAnswering = false;
  End();
}

// An answer that its caller still reads is no idle time.
void
CallerConnection::OnTimer(Instant aNow)
{
  if (mIsCut) {
    End();
  }
  if (mDescriptor >= 0) {
    CheckDelivery(aNow);
  }
  if (mDescriptor < 0 || mIsAnswering) {
    return;
  }
  if (mBodyId != 0) {
    CheckRoom();
    if (mDescriptor < 0 || mIsAnswering || mIsWaitingForRoom) {
      return;
    }
  }
  if (mClosesAfterWrite || !mReader.HasBegun()) {
    if (mDelivery.IsUndelivered()) {
      return; // CheckDelivery ends it.
    }
    const Duration limit =
      mClosesAfterWrite ? kLingerTimeout : mLimits.mIdleTimeout;
    if (aNow - LastActiveAt() > limit) {
      End();
    }
    return;
  }
  // A body adds the idle timeout to the head's timeout.
  const Duration allowed = mReader.HasHead()
                             ? mLimits.mHeaderTimeout + mLimits.mIdleTimeout
                             : mLimits.mHeaderTimeout;
  if (aNow - mPeriodStart > allowed) {
    Reject(kHttpRequestTimeout);
  }
}

CallerPort::CallerPort(IoLoop& aLoop,
                       RequestListener& aListener,
                       BodyIntake& aIntake)
  : mLoop(aLoop)
  , mListener(aListener)
  , mIntake(aIntake)
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

// Connections that wait to be accepted would be reset by the close.
void
CallerPort::StopListening()
{
  if (mDescriptor >= 0) {
    AcceptWaiting(kListenBacklog);
    mLoop.Remove(mDescriptor);
    close(mDescriptor);
    mDescriptor = -1;
  }
}

void
CallerPort::OnIo(bool /*aReadable*/, bool /*aWritable*/, bool /*aFailed*/)
{
  AcceptWaiting(kMaxAcceptsPerWakeup);
}

// An exception while accepting must not end the listening.
void
CallerPort::OnFault()
{
  mLoop.Set(mDescriptor, IoInterest{ true, false }, *this);
}

void
CallerPort::AcceptWaiting(int aLimit)
{
  for (int n = 0; n < aLimit; ++n) {
    const int descriptor = Accept(mDescriptor);
    if (descriptor < 0) {
      if (errno == EMFILE || errno == ENFILE) {
        // The listener stays readable, which would wake the loop at once.
        mIsPaused = true;
        mLoop.Set(mDescriptor, IoInterest{}, *this);
      }
      return;
    }
    if (mLoop.Descriptors() >= mMaxDescriptors && !MakeRoom()) {
      close(descriptor);
      continue;
    }
    mConnections.push_back(std::make_shared<CallerConnection>(
      mLoop, mListener, mIntake, mLimits, descriptor));
    mConnections.back()->Open();
  }
}

// Idle connections go first, then those whose request has not arrived yet.
bool
CallerPort::MakeRoom()
{
  CallerConnection* first = nullptr;
  for (const auto& connection : mConnections) {
    if (connection->IsReplaceable() &&
        (first == nullptr ||
         connection->ReplacementOrder() < first->ReplacementOrder())) {
      first = connection.get();
    }
  }
  if (first != nullptr) {
    first->Replace();
  }
  return first != nullptr;
}

void
CallerPort::OnTimer(Instant aNow)
{
  if (std::exchange(mIsPaused, false) && mDescriptor >= 0) {
    mLoop.Set(mDescriptor, IoInterest{ true, false }, *this);
  }
  for (const auto& connection : mConnections) {
    connection->OnTimer(aNow);
  }
  std::erase_if(mConnections, [](const auto& aConnection) {
    return aConnection->IsClosed();
  });
}

void
CallerPort::CloseIdle()
{
  for (const auto& connection : mConnections) {
    connection->CloseIfIdle();
  }
}

bool
CallerPort::IsBusy() const
{
  return std::any_of(
    mConnections.begin(), mConnections.end(), [](const auto& aConnection) {
      return aConnection->IsBusy();
    });
}

} // namespace heatherfork::relay
