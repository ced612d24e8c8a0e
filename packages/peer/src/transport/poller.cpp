#include "poller.h"

#include <array>
#include <exception>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

namespace heatherfork::detail {

using Poco::Net::PollSet;

Poller::Poller()
  : mWakeReceiver(Poco::Net::SocketAddress("127.0.0.1", 0))
{
  mWakeReceiver.setBlocking(false);
  mWakeSender.connect(mWakeReceiver.address());
  mWakeSender.setBlocking(false);
  mPollSet.add(mWakeReceiver, PollSet::POLL_READ);
}

void
Poller::Add(const Poco::Net::Socket& aSocket, PollHandler& aHandler, int aMode)
{
  mPollSet.add(aSocket, aMode);
  mHandlers[aSocket] = &aHandler;
}

void
Poller::Update(const Poco::Net::Socket& aSocket, int aMode)
{
  mPollSet.update(aSocket, aMode);
}

void
Poller::Remove(const Poco::Net::Socket& aSocket)
{
  if (mHandlers.erase(aSocket) > 0) {
    mPollSet.remove(aSocket);
  }
}

void
Poller::Wait(Duration aTimeout)
{
  mReadySockets = mPollSet.poll(Poco::Timespan(aTimeout.count()));
}

void
Poller::Dispatch()
{
  for (const auto& [socket, mode] : mReadySockets) {
    if (socket == mWakeReceiver) {
      ReadWake();
      continue;
    }
    // An earlier handler of this round may have removed this socket.
    const auto it = mHandlers.find(socket);
    if (it == mHandlers.end()) {
      continue;
    }
    PollHandler& handler = *it->second;
    try {
      handler.OnReady(mode);
    } catch (const std::exception& e) {
      handler.OnFault(e.what());
    }
  }
}

void
Poller::ReadWake()
{
  try {
    std::array<char, 64> buf{};
    mWakeReceiver.receiveBytes(buf.data(), buf.size());
  } catch (const Poco::Exception&) {
    // Nothing is left to read.
  }
}

void
Poller::Wake()
{
  try {
    const char byte = 0;
    mWakeSender.sendBytes(&byte, 1);
  } catch (const Poco::Exception&) {
    // The receive buffer is full, so Wait returns anyway.
  }
}

} // namespace heatherfork::detail
