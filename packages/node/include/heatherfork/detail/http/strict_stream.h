#pragma once

#include <string>

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include "heatherfork/detail/relay/http_message.h"

/// Strict validation of HTTP framing: of requests against request smuggling, of
/// responses against broken ones.
namespace heatherfork::detail {

/// A connection that validates received bytes as they arrive. Each message is
/// rewritten for the HTTP library with a single framing and no trailers, so
/// that no other program can interpret the message differently. Of responses,
/// interim ones and what follows the final one are dropped.
class StrictStream final : public Poco::Net::StreamSocketImpl
{
public:
  using Kind = relay::HttpReader::Kind;

  /// Duplicates the file descriptor of aSocket. aKind: what is received.
  StrictStream(const Poco::Net::StreamSocket& aSocket, Kind aKind);

  /// Throws Poco::Net::MessageException on malformed input, for which Fault()
  /// returns the reason, and when a response ends before it is complete.
  int receiveBytes(void* aBuffer, int aLength, int aFlags) override;
  bool poll(const Poco::Timespan& aTimeout, int aMode) override;
  int available() override;

  relay::HttpFault Fault() const { return mReader.Fault(); }

  /// Returns whether the current message has arrived completely.
  bool IsDone() const { return mReader.IsDone(); }

  /// Reads and discards input for a short time. Closing a socket with unread
  /// input resets the connection, and the caller could lose the last answer.
  void Drain();

private:
  ~StrictStream() override = default;

  void ParseReceived();
  void OnHead();
  bool HasFinalResponse() const;
  void HandleEnd();

  const Kind mKind;
  relay::HttpReader mReader;
  std::string mReceived;  ///< Bytes as received.
  std::string mRewritten; ///< Validated bytes for the library.
  std::size_t mDeliveredBytes = 0;
  bool mIsChunked = false;
  int mInterimResponses = 0;
};

} // namespace heatherfork::detail
