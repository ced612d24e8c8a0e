#include "heatherfork/detail/relay/sockets.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace heatherfork::relay {

namespace {

constexpr int kListenBacklog = 1024;

// A connection fails when sent data stays unacknowledged for this time. It is
// below the shortest limit for detecting a failure.
constexpr unsigned kUserTimeoutMs = 2000;

constexpr std::size_t kReadBufferBytes = 16384;

bool
ParseAddress(const Address& aAddress, sockaddr_in& aSocket)
{
  const std::size_t colon = aAddress.mValue.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  const std::string host = aAddress.mValue.substr(0, colon);
  const int port = std::atoi(aAddress.mValue.c_str() + colon + 1);
  aSocket = sockaddr_in{};
  aSocket.sin_family = AF_INET;
  aSocket.sin_port = htons(static_cast<std::uint16_t>(port));
  return port > 0 && port < 65536 &&
         inet_pton(AF_INET, host.c_str(), &aSocket.sin_addr) == 1;
}

const sockaddr*
AsSockaddr(const sockaddr_in& aSocket)
{
  return reinterpret_cast<const sockaddr*>(&aSocket);
}

} // namespace

absl::Status
Listen(const Address& aAddress, int& aDescriptor)
{
  sockaddr_in socketAddress{};
  if (!ParseAddress(aAddress, socketAddress)) {
    return absl::InvalidArgumentError(
      "expected an address such as 10.0.0.1:80, got \"" + aAddress.mValue +
      "\"");
  }
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(descriptor, AsSockaddr(socketAddress), sizeof(socketAddress)) != 0 ||
      listen(descriptor, kListenBacklog) != 0) {
    const std::string why = std::strerror(errno);
    close(descriptor);
    return absl::UnavailableError("can't listen on " + aAddress.mValue + ": " +
                                  why);
  }
  aDescriptor = descriptor;
  return absl::OkStatus();
}

void
SetUpConnection(int aDescriptor)
{
  const int on = 1;
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(aDescriptor,
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
  // Finds a connection that has gone silent for good, as the user timeout only
  // covers unacknowledged data.
  setsockopt(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  for (const int option : { TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_KEEPCNT }) {
    setsockopt(aDescriptor, IPPROTO_TCP, option, &on, sizeof(on));
  }
}

int
BeginConnect(const Address& aAddress)
{
  sockaddr_in socketAddress{};
  if (!ParseAddress(aAddress, socketAddress)) {
    return -1;
  }
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return -1;
  }
  SetUpConnection(descriptor);
  if (connect(descriptor, AsSockaddr(socketAddress), sizeof(socketAddress)) !=
        0 &&
      errno != EINPROGRESS) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

int
Accept(int aListener)
{
  const int descriptor =
    accept4(aListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor >= 0) {
    SetUpConnection(descriptor);
  }
  return descriptor;
}

bool
IsConnected(int aDescriptor)
{
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(aDescriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
         error == 0;
}

IoResult
ReadSome(int aDescriptor, std::string& aBuffer)
{
  std::array<char, kReadBufferBytes> buffer{};
  const ssize_t count = recv(aDescriptor, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    aBuffer.append(buffer.data(), static_cast<std::size_t>(count));
    return IoResult::kOk;
  }
  if (count == 0) {
    return IoResult::kEnd;
  }
  const bool shouldRetry =
    errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return shouldRetry ? IoResult::kWouldBlock : IoResult::kFailed;
}

IoResult
WriteSome(int aDescriptor, const std::string& aBuffer, std::size_t& aFrom)
{
  while (aFrom < aBuffer.size()) {
    const ssize_t count = send(aDescriptor,
                               aBuffer.data() + aFrom,
                               aBuffer.size() - aFrom,
                               MSG_NOSIGNAL);
    if (count >= 0) {
      aFrom += static_cast<std::size_t>(count);
      continue;
    }
    const bool shouldRetry =
      errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return shouldRetry ? IoResult::kWouldBlock : IoResult::kFailed;
  }
  return IoResult::kOk;
}

} // namespace heatherfork::relay
