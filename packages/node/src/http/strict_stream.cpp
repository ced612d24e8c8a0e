#include "heatherfork/detail/http/strict_stream.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstring>
#include <limits>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <Poco/Net/NetException.h>

namespace heatherfork::detail {

namespace {

using relay::HttpField;
using relay::HttpHead;

// Four times the library's limit for one field (8192 bytes).
constexpr std::size_t kMaxHeadBytes = 32768;

// The handler that reads a body enforces the limit of the settings.
constexpr std::size_t kUnlimitedBodyBytes =
  std::numeric_limits<std::size_t>::max();

constexpr std::size_t kReadBufferBytes = 16384;

constexpr int kFirstFinalStatus = 200;

// Interim responses may precede the final one, but not without end.
constexpr int kMaxInterimResponses = 16;

// Lets the caller receive its answer: allows a few round trips and the bytes
// that are in flight by then.
constexpr std::chrono::milliseconds kDrainTimeout{ 500 };
constexpr std::size_t kMaxDrainedBytes = 64UL << 20;

std::string
SerializeHead(const HttpHead& aHead)
{
  std::string text =
    aHead.mMethod.empty()
      ? "HTTP/1.1 " + std::to_string(aHead.mStatus) + " " + aHead.mReason
      : aHead.mMethod + " " + aHead.mTarget + " HTTP/1.1";
  text += "\r\n";
  for (const HttpField& field : aHead.mFields) {
    relay::AppendField(text, field.mName, field.mValue);
  }
  if (!aHead.mKeepAlive && aHead.Find("Connection") == nullptr) {
    relay::AppendField(text, "Connection", "close");
  }
  return text + "\r\n";
}

std::string
MakeChunk(const std::string& aBytes)
{
  std::array<char, 20> size;
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  return size.data() + aBytes + "\r\n";
}

} // namespace

StrictStream::StrictStream(const Poco::Net::StreamSocket& aSocket, Kind aKind)
  : StreamSocketImpl(::dup(aSocket.impl()->sockfd()))
  , mKind(aKind)
  , mReader(aKind, kMaxHeadBytes, kUnlimitedBodyBytes)
{
}

int
StrictStream::receiveBytes(void* aBuffer, int aLength, int /*aFlags*/)
{
  while (mDeliveredBytes == mRewritten.size()) {
    mRewritten.clear();
    mDeliveredBytes = 0;
    ParseReceived();
    if (mReader.Fault() != relay::HttpFault::kNone ||
        mInterimResponses > kMaxInterimResponses) {
      throw Poco::Net::MessageException("malformed HTTP message");
    }
    if (!mRewritten.empty()) {
      break;
    }
    if (HasFinalResponse()) {
      return 0;
    }
    std::array<char, kReadBufferBytes> buf;
    const int n = StreamSocketImpl::receiveBytes(buf.data(), buf.size(), 0);
    if (n <= 0) {
      HandleEnd();
      return n;
    }
    mReceived.append(buf.data(), static_cast<std::size_t>(n));
  }
  const std::size_t n = std::min(mRewritten.size() - mDeliveredBytes,
                                 static_cast<std::size_t>(aLength));
  std::memcpy(aBuffer, mRewritten.data() + mDeliveredBytes, n);
  mDeliveredBytes += n;
  return static_cast<int>(n);
}

bool
StrictStream::HasFinalResponse() const
{
  return mKind == Kind::kResponse && mReader.IsDone() &&
         mReader.Head().mStatus >= kFirstFinalStatus;
}

// The library takes the end of the connection for the end of a body in chunks.
void
StrictStream::HandleEnd()
{
  if (mKind == Kind::kRequest || !mReader.HasBegun()) {
    return; // The library finds that no message has come.
  }
  mReader.ReadEnd();
  if (!HasFinalResponse()) {
    throw Poco::Net::MessageException("incomplete HTTP response");
  }
}

void
StrictStream::OnHead()
{
  const HttpHead& head = mReader.Head();
  if (mKind == Kind::kResponse && head.mStatus < kFirstFinalStatus) {
    ++mInterimResponses;
    return;
  }
  mIsChunked = head.Find("Transfer-Encoding") != nullptr;
  mRewritten += SerializeHead(head);
}

void
StrictStream::ParseReceived()
{
  while (!mReceived.empty() && !HasFinalResponse() &&
         mReader.Fault() == relay::HttpFault::kNone) {
    if (mReader.IsDone()) {
      mReader.Reset();
      mIsChunked = false;
    }
    const std::size_t before = mReceived.size();
    const bool hadHead = mReader.HasHead();
    std::string body;
    mReader.Read(mReceived, body);
    if (mReader.Fault() != relay::HttpFault::kNone) {
      return;
    }
    if (!hadHead && mReader.HasHead()) {
      OnHead();
    }
    if (!body.empty()) {
      mRewritten += mIsChunked ? MakeChunk(body) : body;
    }
    if (mReader.IsDone() && mIsChunked) {
      mRewritten += "0\r\n\r\n";
    }
    if (!mRewritten.empty() || mReceived.size() == before) {
      return;
    }
  }
}

bool
StrictStream::poll(const Poco::Timespan& aTimeout, int aMode)
{
  const bool hasBytes =
    mDeliveredBytes < mRewritten.size() || !mReceived.empty();
  return ((aMode & SELECT_READ) != 0 && hasBytes) ||
         StreamSocketImpl::poll(aTimeout, aMode);
}

int
StrictStream::available()
{
  return mDeliveredBytes < mRewritten.size()
           ? static_cast<int>(mRewritten.size() - mDeliveredBytes)
           : StreamSocketImpl::available();
}

void
StrictStream::Drain()
{
  using std::chrono::steady_clock;
  ::shutdown(sockfd(), SHUT_WR);
  const auto end = steady_clock::now() + kDrainTimeout;
  std::array<char, kReadBufferBytes> buf;
  for (std::size_t drained = 0; drained < kMaxDrainedBytes;) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      end - steady_clock::now());
    pollfd ready{ sockfd(), POLLIN, 0 };
    if (left.count() <= 0 ||
        ::poll(&ready, 1, static_cast<int>(left.count())) <= 0) {
      return;
    }
    const auto n = ::recv(sockfd(), buf.data(), buf.size(), MSG_DONTWAIT);
    if (n <= 0) {
      return;
    }
    drained += static_cast<std::size_t>(n);
  }
}

} // namespace heatherfork::detail
