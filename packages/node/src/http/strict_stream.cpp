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
using relay::HttpReader;

// Four times what the library allows for one field.
constexpr std::size_t kMostHeadBytes = 32768;

// Limits of bodies are those of the settings, kept by who reads them.
constexpr std::size_t kAnyBody = std::numeric_limits<std::size_t>::max();

constexpr std::size_t kReadBytes = 16384;

// For a caller to take its answer: a few round trips, and what it may have had
// on its way by then.
constexpr std::chrono::milliseconds kDrainTime{ 500 };
constexpr std::size_t kMostDrained = 64UL << 20;

std::string
TextOf(const HttpHead& aHead)
{
  std::string text = aHead.mMethod + " " + aHead.mTarget + " HTTP/1.1\r\n";
  for (const HttpField& field : aHead.mFields) {
    relay::AppendField(text, field.mName, field.mValue);
  }
  if (!aHead.mKeepAlive && aHead.Find("Connection") == nullptr) {
    relay::AppendField(text, "Connection", "close");
  }
  return text + "\r\n";
}

std::string
ChunkOf(const std::string& aBytes)
{
  std::array<char, 20> size;
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  return size.data() + aBytes + "\r\n";
}

} // namespace

StrictStream::StrictStream(const Poco::Net::StreamSocket& aSocket)
  : StreamSocketImpl(::dup(aSocket.impl()->sockfd()))
  , mReader(HttpReader::Kind::kRequest, kMostHeadBytes, kAnyBody)
{
}

int
StrictStream::receiveBytes(void* aBuffer, int aLength, int /*aFlags*/)
{
  while (mTaken == mReady.size()) {
    mReady.clear();
    mTaken = 0;
    Advance();
    if (mReader.Fault() != relay::HttpFault::kNone) {
      throw Poco::Net::MessageException("bytes that are no sound request");
    }
    if (!mReady.empty()) {
      break;
    }
    std::array<char, kReadBytes> buf;
    const int n = StreamSocketImpl::receiveBytes(buf.data(), buf.size(), 0);
    if (n <= 0) {
      return n;
    }
    mIn.append(buf.data(), static_cast<std::size_t>(n));
  }
  const std::size_t n =
    std::min(mReady.size() - mTaken, static_cast<std::size_t>(aLength));
  std::memcpy(aBuffer, mReady.data() + mTaken, n);
  mTaken += n;
  return static_cast<int>(n);
}

void
StrictStream::Advance()
{
  if (mIn.empty()) {
    return;
  }
  if (mReader.IsDone()) {
    mReader.Reset();
  }
  const bool hadHead = mReader.HasHead();
  std::string body;
  mReader.Read(mIn, body);
  if (mReader.Fault() != relay::HttpFault::kNone) {
    return;
  }
  if (!hadHead && mReader.HasHead()) {
    mIsChunked = mReader.Head().Find("Transfer-Encoding") != nullptr;
    mReady += TextOf(mReader.Head());
  }
  if (!body.empty()) {
    mReady += mIsChunked ? ChunkOf(body) : body;
  }
  if (mReader.IsDone() && mIsChunked) {
    mReady += "0\r\n\r\n";
  }
}

bool
StrictStream::poll(const Poco::Timespan& aTimeout, int aMode)
{
  const bool hasBytes = mTaken < mReady.size() || !mIn.empty();
  return ((aMode & SELECT_READ) != 0 && hasBytes) ||
         StreamSocketImpl::poll(aTimeout, aMode);
}

int
StrictStream::available()
{
  return mTaken < mReady.size() ? static_cast<int>(mReady.size() - mTaken)
                                : StreamSocketImpl::available();
}

void
StrictStream::Drain()
{
  using std::chrono::steady_clock;
  ::shutdown(sockfd(), SHUT_WR);
  const auto end = steady_clock::now() + kDrainTime;
  std::array<char, kReadBytes> buf;
  for (std::size_t drained = 0; drained < kMostDrained;) {
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
