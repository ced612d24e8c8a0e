#include "heatherfork/detail/relay/server_connection.h"

#include <algorithm>
#include <cerrno>
#include <functional>

#include <unistd.h>

#include "heatherfork/detail/relay/answer_limits.h"
#include "heatherfork/detail/relay/sockets.h"
#include "heatherfork/detail/relay/turn_budget.h"

namespace heatherfork::relay {

namespace {

constexpr std::size_t kMaxHeadBytes = 65536;
constexpr std::size_t kMaxBodyBytes = std::size_t{ 64 } << 20;

// Used if the other side states no idle timeout.
constexpr Duration kDefaultIdleTimeout = Milliseconds(2000);

// Subtracted from the other side's timeout, so that no request is sent while
// it closes the connection.
constexpr Duration kIdleMargin = Milliseconds(1000);

constexpr std::size_t kMaxIdleConnections = 256; // For all addresses together.

// Request ids that a connection remembers.
constexpr std::size_t kMaxSentIds = 64;

// Interim responses and responses to other requests before the awaited one, and
// the bytes of their bodies.
constexpr int kMaxSkippedResponses = 16;
constexpr std::size_t kMaxSkippedBytes = std::size_t{ 1 } << 20;

// Parses "timeout=5" (whole seconds) in the Keep-Alive field.
Duration
ReadIdleTimeout(const HttpHead& aHead)
{
  const std::string* value = aHead.Find("Keep-Alive");
  if (value == nullptr) {
    return kDefaultIdleTimeout;
  }
  const std::size_t at = value->find("timeout=");
  if (at == std::string::npos) {
    return kDefaultIdleTimeout;
  }
  const long seconds = std::strtol(value->c_str() + at + 8, nullptr, 10);
  return Milliseconds(1000) * std::clamp(seconds, 0L, 3600L) - kIdleMargin;
}

} // namespace

ServerConnection::ServerConnection(IoLoop& aLoop, Address aAddress)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mReader(HttpReader::Kind::kResponse, kMaxHeadBytes, kMaxBodyBytes)
  , mIdleTimeout(kDefaultIdleTimeout)
{
}

ServerConnection::~ServerConnection()
{
  *mIsAlive = false;
  CloseSocket();
}

void
ServerConnection::CloseSocket()
{
  if (mDescriptor >= 0) {
    mLoop.Remove(mDescriptor);
    close(mDescriptor);
    mDescriptor = -1;
    mIsEstablished = false;
  }
}

void
ServerConnection::Begin(std::string aRequest,
                        bool aIsHeadRequest,
                        ExchangeListener& aListener,
                        SharedBody aBody)
{
  mListener = &aListener;
  mOnIdleEnd = nullptr;
  mOutput = std::move(aRequest);
  mWrittenBytes = 0;
  mBody = std::move(aBody);
  mWrittenBodyBytes = 0;
  mMayHaveSent = false;
  mIsHeadRequest = aIsHeadRequest;
  mHasHandledHead = false;
  mIsSkippingResponse = false;
  mSkippedResponses = 0;
  mSkippedBytes = 0;
  mIsReadingPaused = false;
  mDelivery.OnAnswered();
  mReader.Reset(aIsHeadRequest);
  if (mDescriptor < 0) {
    mDescriptor = BeginConnect(mAddress);
    if (mDescriptor < 0) {
      FailLater("can't connect to " + mAddress.mValue);
      return;
    }
    UpdateInterest();
    return;
  }
  Write();
}

void
ServerConnection::Abandon()
{
  mListener = nullptr;
  mIsReusable = false;
  mBody = nullptr;
  CloseSocket();
}

bool
ServerConnection::HasUnwritten() const
{
  return mWrittenBytes < mOutput.size() || mBody != nullptr;
}

bool
ServerConnection::CanBeReused() const
{
  return mDescriptor >= 0 && mIsReusable && !mHasPeerClosed && mInput.empty() &&
         !HasUnwritten() && mReader.IsDone() && mReader.Head().mKeepAlive &&
         mReader.Head().mIsFramed && mIdleTimeout > Duration{};
}

bool
ServerConnection::HasSent(const std::string& aRequestId) const
{
  const std::size_t id = std::hash<std::string>{}(aRequestId);
  return std::find(mSentIds.begin(), mSentIds.end(), id) != mSentIds.end();
}

void
ServerConnection::RecordSent(const std::string& aRequestId)
{
  if (aRequestId.empty()) {
    return;
  }
  if (mSentIds.size() == kMaxSentIds) {
    mSentIds.erase(mSentIds.begin());
  }
  mSentIds.push_back(std::hash<std::string>{}(aRequestId));
}

// The response is complete, so any further event ends the idle connection.
void
ServerConnection::WatchIdle(std::function<void(ServerConnection&)> aOnEnd)
{
  mListener = nullptr;
  FreeText(mOutput);
  mWrittenBytes = 0;
  mIsReadingPaused = false;
  mOnIdleEnd = std::move(aOnEnd);
  UpdateInterest();
}

void
ServerConnection::UpdateInterest()
{
  if (mDescriptor >= 0) {
    const bool wantsWrite = !mIsEstablished || HasUnwritten();
    const bool wantsRead = mIsEstablished && !mIsReadingPaused;
    mLoop.Set(mDescriptor, IoInterest{ wantsRead, wantsWrite }, *this);
  }
}

void
ServerConnection::PauseReading()
{
  mIsReadingPaused = true;
  UpdateInterest();
}

void
ServerConnection::ResumeReading()
{
  mIsReadingPaused = false;
  UpdateInterest();
}

void
ServerConnection::Fail(const std::string& aReason)
{
  CloseSocket();
  mIsReusable = false;
  mBody = nullptr;
  ExchangeListener* listener = mListener;
  mListener = nullptr;
  if (listener != nullptr) {
    listener->OnFailed({ aReason, mMayHaveSent, mHasPeerClosed, mIsSilent });
  }
}

void
ServerConnection::FailSilent()
{
  mIsSilent = true;
  mHasPeerClosed = true;
  Fail("no sign of the other machine");
}

void
ServerConnection::OnTimer(Instant aNow)
{
  if (mIsEstablished && mListener != nullptr &&
      mDelivery.Check(mDescriptor, aNow) == DeliveryState::kSilent) {
    FailSilent();
  }
}

// Reported from the loop, since the listener's call of Begin has not returned.
void
ServerConnection::FailLater(const std::string& aReason)
{
  mLoop.Post([this, aReason, alive = mIsAlive] {
    if (*alive) {
      Fail(aReason);
    }
  });
}

void
ServerConnection::OnIo(bool aReadable, bool aWritable, bool aFailed)
{
  const std::shared_ptr<bool> alive = mIsAlive;
  if (mListener == nullptr && !mOnIdleEnd) {
    // No response is expected: the other side closed or sent unexpected data.
    mIsReusable = false;
    CloseSocket();
    return;
  }
  if (mOnIdleEnd) {
    // A close or unexpected data makes an idle connection unusable.
    const auto onEnd = mOnIdleEnd;
    onEnd(*this);
    return;
  }
  if (!mIsEstablished) {
    if (aFailed || !IsConnected(mDescriptor)) {
      Fail("can't connect to " + mAddress.mValue);
      return;
    }
    if (!aWritable) {
      return;
    }
    mIsEstablished = true;
    if (mListener != nullptr) {
      mListener->OnConnected();
    }
  }
  if (aFailed) {
    // Reported at each wait of the loop until the rest is read.
    mIsReadingPaused = false;
  }
  if (aReadable || aFailed) {
    ReadAll();
  }
  if (*alive && mDescriptor >= 0 && HasUnwritten()) {
    Write();
  } else if (*alive && mDescriptor >= 0) {
    UpdateInterest();
  }
}

IoResult
ServerConnection::WriteParts()
{
  IoResult result = WriteSome(mDescriptor, mOutput, mWrittenBytes);
  if (result == IoResult::kOk && mBody != nullptr) {
    result = WriteSome(mDescriptor, *mBody, mWrittenBodyBytes);
    if (result == IoResult::kOk) {
      mBody = nullptr;
    }
  }
  return result;
}

void
ServerConnection::Write()
{
  if (!mMayHaveSent && mListener != nullptr && !mListener->MaySend()) {
    CloseSocket();
    mIsReusable = false;
    FailLater("too late to be sent");
    return;
  }
  mMayHaveSent = true;
  const std::size_t before = mWrittenBytes + mWrittenBodyBytes;
  const IoResult result = WriteParts();
  if (mWrittenBytes + mWrittenBodyBytes > before) {
    mDelivery.OnWritten(SteadyNow());
  }
  if (result == IoResult::kSilent) {
    FailSilent();
    return;
  }
  if (result == IoResult::kFailed) {
    // The other side may have answered before it stopped reading. After its
    // close, a write finds EPIPE; so does each write but the first after its
    // reset.
    mIsReset = mIsReset || errno != EPIPE;
    ReadAll();
    return;
  }
  UpdateInterest();
}

void
ServerConnection::ReadAll()
{
  const std::shared_ptr<bool> alive = mIsAlive;
  TurnBudget budget(SteadyNow());
  while (*alive && mDescriptor >= 0 && mListener != nullptr &&
         !mIsReadingPaused && !budget.IsSpent(SteadyNow())) {
    const std::size_t before = mInput.size();
    const IoResult result = ReadSome(mDescriptor, mInput);
    budget.Spend(mInput.size() - before);
    if (result == IoResult::kWouldBlock) {
      if (!mHasPeerClosed && HasUnwritten() && mMayHaveSent &&
          !IsConnected(mDescriptor)) {
        Fail("connection failed while sending the request");
      }
      return;
    }
    if (result == IoResult::kSilent) {
      FailSilent();
      return;
    }
    if (result == IoResult::kFailed || (result == IoResult::kEnd && mIsReset)) {
      mHasPeerClosed = true;
      Fail("connection reset");
      return;
    }
    mHasPeerClosed = result == IoResult::kEnd;
    ProcessInput();
    if (!*alive || mHasPeerClosed) {
      return;
    }
  }
}

void
ServerConnection::HandleHead()
{
  const HttpHead& head = mReader.Head();
  mHasHandledHead = true;
  // Skip interim responses and responses to other requests.
  mIsSkippingResponse = head.mStatus < 200 || !mListener->OnHead(head);
  if (mIsSkippingResponse && head.mStatus >= 200) {
    mIsReusable = false;
  }
  if (const std::string* connection = head.Find("Connection");
      connection != nullptr && IsSameField(*connection, "close")) {
    mIsReusable = false;
  }
  mIdleTimeout = ReadIdleTimeout(head);
}

bool
ServerConnection::CanSkipMore(std::size_t aBodyBytes)
{
  mSkippedBytes += aBodyBytes;
  return mSkippedResponses < kMaxSkippedResponses &&
         mSkippedBytes <= kMaxSkippedBytes;
}

void
ServerConnection::ProcessInput()
{
  const std::shared_ptr<bool> alive = mIsAlive;
  while (*alive && mListener != nullptr) {
    std::string body;
    mReader.Read(mInput, body);
    if (mHasPeerClosed) {
      mReader.ReadEnd();
    }
    if (mReader.HasHead() && !mHasHandledHead) {
      HandleHead();
      if (!*alive || mListener == nullptr) {
        return;
      }
    }
    if (mIsSkippingResponse && !CanSkipMore(body.size())) {
      Fail("too many responses that answer nothing");
      return;
    }
    if (!body.empty() && !mIsSkippingResponse) {
      mListener->OnBody(body);
      if (!*alive || mListener == nullptr) {
        return;
      }
    }
    if (mReader.Fault() != HttpFault::kNone) {
      Fail("invalid HTTP response");
      return;
    }
    if (!mReader.IsDone()) {
      if (mHasPeerClosed) {
        Fail("connection closed before the response was complete");
      }
      return;
    }
    if (!mIsSkippingResponse) {
      ExchangeListener* listener = mListener;
      mListener = nullptr;
      listener->OnDone();
      return;
    }
    mReader.Reset(mIsHeadRequest);
    mHasHandledHead = false;
    ++mSkippedResponses;
    if (mInput.empty()) {
      if (mHasPeerClosed) {
        Fail("connection closed without a response");
      }
      return;
    }
  }
}

ServerConnectionPtr
ConnectionPool::Acquire(const Address& aAddress,
                        bool aForceNew,
                        const std::string& aRequestId)
{
  if (!aForceNew) {
    // The most recently used connection is the least likely to be closed.
    const auto it = std::find_if(
      mIdle.rbegin(), mIdle.rend(), [&](const IdleConnection& aIdle) {
        return aIdle.mConnection->RemoteAddress() == aAddress &&
               !aIdle.mConnection->HasSent(aRequestId);
      });
    if (it != mIdle.rend()) {
      ServerConnectionPtr connection = std::move(it->mConnection);
      mIdle.erase(std::next(it).base());
      connection->RecordSent(aRequestId);
      return connection;
    }
  }
  auto connection = std::make_unique<ServerConnection>(mLoop, aAddress);
  connection->RecordSent(aRequestId);
  return connection;
}

void
ConnectionPool::Release(ServerConnectionPtr aConnection)
{
  if (!aConnection->CanBeReused() || mLoop.Descriptors() > mMaxDescriptors) {
    mClosed.push_back(std::move(aConnection));
    return;
  }
  aConnection->WatchIdle([this](ServerConnection& aEnded) {
    const auto it = std::find_if(
      mIdle.begin(), mIdle.end(), [&](const IdleConnection& aIdle) {
        return aIdle.mConnection.get() == &aEnded;
      });
    if (it != mIdle.end()) {
      it->mConnection->Abandon();
      mClosed.push_back(std::move(it->mConnection));
      mIdle.erase(it);
    }
  });
  const Instant until = SteadyNow() + aConnection->IdleTimeout();
  mIdle.push_back({ std::move(aConnection), until });
  if (mIdle.size() > kMaxIdleConnections) {
    mIdle.pop_front();
  }
}

void
ConnectionPool::Expire(Instant aNow)
{
  mClosed.clear();
  std::erase_if(mIdle, [aNow](const IdleConnection& aIdle) {
    return aIdle.mExpiresAt <= aNow;
  });
}

} // namespace heatherfork::relay
