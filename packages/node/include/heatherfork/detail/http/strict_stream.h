#pragma once

#include <string>

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include "heatherfork/detail/relay/http_message.h"

/// Keeps from the HTTP library what another program could read differently.
namespace heatherfork::detail {

/// A caller's connection whose bytes are checked as they come in. The library
/// gets each message written anew: one framing, no trailers.
class StrictStream final : public Poco::Net::StreamSocketImpl
{
public:
  /// Shares the connection of aSocket.
  explicit StrictStream(const Poco::Net::StreamSocket& aSocket);

  /// Throws Poco::Net::MessageException for bytes that are refused; Fault()
  /// says why.
  int receiveBytes(void* aBuffer, int aLength, int aFlags) override;
  bool poll(const Poco::Timespan& aTimeout, int aMode) override;
  int available() override;

  relay::HttpFault Fault() const { return mReader.Fault(); }

  /// Whether all of the last request has come in.
  bool IsDone() const { return mReader.IsDone(); }

  /// Takes what still comes in, for a short time, so that the caller gets the
  /// last answer before the connection ends.
  void Drain();

private:
  ~StrictStream() override = default;

  void Advance();

  relay::HttpReader mReader;
  std::string mIn;    ///< As it came.
  std::string mReady; ///< For the library.
  std::size_t mTaken = 0;
  bool mIsChunked = false;
};

} // namespace heatherfork::detail
