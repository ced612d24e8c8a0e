#include "heatherfork/detail/http/http_input.h"

#include <array>
#include <istream>

#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include "heatherfork/detail/runtime/event_loop.h"

namespace heatherfork::detail {

namespace {

constexpr std::size_t kReadBufferBytes = 16UL << 10;
constexpr std::string_view kBearerPrefix = "Bearer ";

Error
MakeTooLargeError(const Settings& aSettings)
{
  return Error{ ErrorCode::kTooLarge,
                "expected a body of at most " +
                  std::to_string(aSettings.mMaxBodyBytes) + " bytes" };
}

Error
MakeSlowSenderError(const Settings& aSettings)
{
  return Error{ ErrorCode::kSlowSender,
                "expected the whole body within " +
                  std::to_string(ToMilliseconds(aSettings.mBodyTimeout)) +
                  " ms" };
}

// Returns nullopt when Content-Length is not a number.
std::optional<std::int64_t>
DeclaredLength(const Poco::Net::HTTPServerRequest& aRequest)
{
  try {
    return aRequest.getContentLength64();
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

} // namespace

std::variant<std::string, Error>
ReadBody(Poco::Net::HTTPServerRequest& aRequest, const Settings& aSettings)
{
  const auto maxBytes = static_cast<std::size_t>(aSettings.mMaxBodyBytes);
  const auto declared = DeclaredLength(aRequest);
  if (!declared) {
    return Error{ ErrorCode::kBadJson,
                  "expected Content-Length to be a number" };
  }
  const std::int64_t length = *declared;
  const bool hasLength = aRequest.hasContentLength();
  if (!hasLength && !aRequest.getChunkedTransferEncoding()) {
    return Error{ ErrorCode::kBadJson,
                  "expected a body with Content-Length or in chunks" };
  }
  if (hasLength &&
      (length < 0 || static_cast<std::size_t>(length) > maxBytes)) {
    return MakeTooLargeError(aSettings);
  }
  const Instant deadline = EventLoop::Now() + aSettings.mBodyTimeout;
  std::string body;
  std::array<char, kReadBufferBytes> buf;
  std::istream& input = aRequest.stream();
  // peek() waits for one byte only and readsome() takes what is buffered. A
  // blocking read of a full buffer would let a slow sender hold the thread
  // beyond the deadline.
  try {
    while (input.peek() != std::istream::traits_type::eof()) {
      const auto n = input.readsome(buf.data(), kReadBufferBytes);
      body.append(buf.data(), static_cast<std::size_t>(n));
      if (body.size() > maxBytes) {
        return MakeTooLargeError(aSettings);
      }
      if (EventLoop::Now() > deadline) {
        return MakeSlowSenderError(aSettings);
      }
    }
  } catch (const Poco::Exception&) {
    return MakeSlowSenderError(aSettings);
  }
  if (hasLength && body.size() != static_cast<std::size_t>(length)) {
    return EventLoop::Now() >= deadline
             ? MakeSlowSenderError(aSettings)
             : Error{ ErrorCode::kBadJson,
                      "expected " + std::to_string(length) +
                        " bytes of body, found " +
                        std::to_string(body.size()) };
  }
  return body;
}

std::string
BearerKey(const Poco::Net::HTTPServerRequest& aRequest)
{
  const std::string value = aRequest.get("Authorization", "");
  return value.starts_with(kBearerPrefix) ? value.substr(kBearerPrefix.size())
                                          : "";
}

bool
IsClosedByPeer(Poco::Net::HTTPServerRequest& aRequest)
{
  auto* request = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&aRequest);
  if (request == nullptr) {
    return false;
  }
  char byte = 0;
  const auto n = ::recv(
    request->socket().impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n == 0) {
    return true;
  }
  return n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

} // namespace heatherfork::detail
