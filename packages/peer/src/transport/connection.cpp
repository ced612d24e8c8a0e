#include "connection.h"

#include <array>
#include <utility>

#include <sys/socket.h>

#include <Poco/Exception.h>

namespace heatherfork::detail {

namespace {

constexpr std::size_t kReadChunkBytes = std::size_t{ 64 } << 10;
// Limits the reads per poll round, so that a fast sender does not starve other
// connections.
constexpr int kMaxReadsPerRound = 4;

} // namespace

Connection::Connection(const Poco::Net::StreamSocket& aSocket, Session aSession)
  : mSocket(aSocket)
  , mSession(std::move(aSession))
  , mWriteBuffer(mSession.InitialBytes())
{
}

void
Connection::QueueFrame(FrameKind aKind, std::string_view aPayload)
{
  mWriteBuffer.append(mSession.Seal(aKind, aPayload));
}

absl::Status
Connection::Flush()
{
  try {
    while (mWrittenBytes < mWriteBuffer.size()) {
      const int n =
        mSocket.sendBytes(mWriteBuffer.data() + mWrittenBytes,
                          static_cast<int>(mWriteBuffer.size() - mWrittenBytes),
                          MSG_NOSIGNAL);
      if (n <= 0) {
        return absl::OkStatus();
      }
      mWrittenBytes += static_cast<std::size_t>(n);
      mBytesSent += static_cast<std::size_t>(n);
    }
  } catch (const Poco::Exception& e) {
    return absl::UnavailableError(e.displayText());
  }
  mWriteBuffer.clear();
  mWrittenBytes = 0;
  return absl::OkStatus();
}

absl::Status
Connection::Read(std::vector<SessionFrame>& aFrames)
{
  std::array<char, kReadChunkBytes> buf; // NOLINT: filled by receiveBytes.
  try {
    for (int i = 0; i < kMaxReadsPerRound; ++i) {
      const int n = mSocket.receiveBytes(buf.data(), kReadChunkBytes);
      if (n < 0) {
        return absl::OkStatus();
      }
      if (n == 0) {
        return absl::UnavailableError("connection closed by the peer");
      }
      mBytesReceived += static_cast<std::size_t>(n);
      auto frames = mSession.Receive({ buf.data(), std::size_t(n) });
      if (!frames.ok()) {
        return frames.status();
      }
      for (SessionFrame& frame : *frames) {
        aFrames.push_back(std::move(frame));
      }
    }
  } catch (const Poco::Exception& e) {
    return absl::UnavailableError(e.displayText());
  }
  return absl::OkStatus();
}

void
Connection::Close()
{
  try {
    mSocket.close();
  } catch (const Poco::Exception&) {
    // The peer has already closed the connection.
  }
}

} // namespace heatherfork::detail
