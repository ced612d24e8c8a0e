#pragma once

#include <string>

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include "heatherfork/detail/relay/http_message.h"

/// Strict validation of HTTP framing, against request smuggling.
namespace heatherfork::detail {

/// A caller's connection that validates bytes as they arrive. Each message is
/// rewritten for the HTTP library with a single framing and no trailers, so
/// that no other program can interpret the message differently.
class StrictStream final : public Poco::Net::StreamSocketImpl
{
public:
  /// Duplicates the file descriptor of aSocket.
  explicit StrictStream(const Poco::Net::StreamSocket& aSocket);

  /// Throws Poco::Net::MessageException on malformed input; Fault() returns
  /// the reason.
  int receiveBytes(void* aBuffer, int aLength, int aFlags) override;
  bool poll(const Poco::Timespan& aTimeout, int aMode) override;
  int available() override;

  relay::HttpFault Fault() const { return mReader.Fault(); }

  /// Returns whether the current request has arrived completely.
  bool IsDone() const { return mReader.IsDone(); }

  /// Reads and discards input for a short time. Closing a socket with unread
  /// input resets the connection, and the caller could lose the last answer.
  void Drain();

private:
  ~StrictStream() override = default;

  void ParseReceived();

  relay::HttpReader mReader;
  std::string mReceived;  ///< Bytes as received.
  std::string mRewritten; ///< Validated bytes for the library.
  std::size_t mDeliveredBytes = 0;
  bool mIsChunked = false;
};

} // namespace heatherfork::detail
