#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Net/StreamSocket.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "heatherfork/detail/peer/session.h"

/// A non-blocking socket with its session and write buffer.
namespace heatherfork::detail {

class Connection
{
public:
  Connection(const Poco::Net::StreamSocket& aSocket, Session aSession);

  const Poco::Net::StreamSocket& Socket() const { return mSocket; }
  Session& GetSession() { return mSession; }

  /// Appends a frame to the write buffer.
  void QueueFrame(FrameKind aKind, std::string_view aPayload);

  /// Writes as much as the socket accepts. Returns Unavailable when the
  /// connection is broken.
  absl::Status Flush();

  /// Returns the number of buffered bytes that are not yet written.
  std::size_t UnwrittenBytes() const
  {
    return mWriteBuffer.size() - mWrittenBytes;
  }

  /// Reads available bytes and appends the complete frames to aFrames. Returns
  /// Unavailable when the connection is closed or broken, else the errors of
  /// Session::Receive.
  absl::Status Read(std::vector<SessionFrame>& aFrames);

  void Close();

  std::size_t BytesSent() const { return mBytesSent; }
  std::size_t BytesReceived() const { return mBytesReceived; }

private:
  Poco::Net::StreamSocket mSocket;
  Session mSession;
  std::string mWriteBuffer;
  std::size_t mWrittenBytes = 0;
  std::size_t mBytesSent = 0;
  std::size_t mBytesReceived = 0;
};

} // namespace heatherfork::detail
