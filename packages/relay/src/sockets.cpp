#include "heatherfork/detail/relay/sockets.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "heatherfork/detail/relay/delivery_watch.h"

namespace heatherfork::relay {

namespace {

// The rest of a large answer waits in this process, where its memory is
// counted.
constexpr int kMaxUnsentKernelBytes = 32768;

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

// Errors of a connection whose peer has stopped answering. The network may have
// reported why.
bool
IsSilence(int aError)
{
  return aError == ETIMEDOUT || aError == EHOSTUNREACH || aError == ENETUNREACH;
}

IoResult
ResultOf(int aError)
{
  if (aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR) {
    return IoResult::kWouldBlock;
  }
  return IsSilence(aError) ? IoResult::kSilent : IoResult::kFailed;
}

// Returns and clears the pending error of a socket.
int
TakeError(int aDescriptor)
{
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(aDescriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0
           ? error
           : errno;
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
             TCP_NOTSENT_LOWAT,
             &kMaxUnsentKernelBytes,
             sizeof(kMaxUnsentKernelBytes));
  SetKernelTimeout(aDescriptor, kSilenceLimit);
  // Finds a connection that has gone silent for good, as the user timeout only
  // covers unacknowledged data.
  setsockopt(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  for (const int option : { TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_KEEPCNT }) {
    setsockopt(aDescriptor, IPPROTO_TCP, option, &on, sizeof(on));
  }
}

void
SetKernelTimeout(int aDescriptor, Duration aTimeout)
{
  const auto ms = static_cast<unsigned>(ToMilliseconds(aTimeout));
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
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
  return TakeError(aDescriptor) == 0;
}

bool
IsRefused(int aDescriptor)
{
  return TakeError(aDescriptor) == ECONNREFUSED;
}

std::size_t
UnacknowledgedBytes(int aDescriptor)
{
  int count = 0;
  return ioctl(aDescriptor, SIOCOUTQ, &count) == 0 && count > 0
           ? static_cast<std::size_t>(count)
           : 0;
}

std::string
PeerAddress(int aDescriptor)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  std::array<char, INET_ADDRSTRLEN> host{};
  if (getpeername(aDescriptor, generic, &size) != 0 ||
      inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size()) ==
        nullptr) {
    return {};
  }
  return host.data() + (":" + std::to_string(ntohs(address.sin_port)));
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
  return ResultOf(errno);
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
    return ResultOf(errno);
  }
  return IoResult::kOk;
}

} // namespace heatherfork::relay
