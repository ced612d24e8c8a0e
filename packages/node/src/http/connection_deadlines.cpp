#include "heatherfork/detail/http/connection_deadlines.h"

#include <Poco/Exception.h>

#include "heatherfork/detail/runtime/event_loop.h"

namespace heatherfork::detail {

namespace {

constexpr Duration kCheckInterval = Milliseconds(50);

void
ShutDown(Poco::Net::StreamSocket& aSocket)
{
  try {
    aSocket.shutdown();
  } catch (const Poco::Exception&) {
    // The peer has already closed the connection.
  }
}

} // namespace

ConnectionDeadlines::Watch::Watch(ConnectionDeadlines& aDeadlines,
                                  const Poco::Net::StreamSocket& aSocket,
                                  Duration aTimeout)
  : mDeadlines(aDeadlines)
  , mId(aDeadlines.Add(aSocket, aTimeout))
{
}

ConnectionDeadlines::Watch::~Watch()
{
  mDeadlines.Remove(mId);
}

ConnectionDeadlines::ConnectionDeadlines()
  : mThread([this] { Run(); })
{
}

ConnectionDeadlines::~ConnectionDeadlines()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWake.notify_all();
  mThread.join();
}

void
ConnectionDeadlines::CloseAll()
{
  const std::lock_guard lock(mMutex);
  mIsClosing = true;
  CloseExpired(Instant::max());
}

std::uint64_t
ConnectionDeadlines::Add(const Poco::Net::StreamSocket& aSocket,
                         Duration aTimeout)
{
  const std::lock_guard lock(mMutex);
  const Instant deadline =
    mIsClosing ? Instant::min() : EventLoop::Now() + aTimeout;
  mWatched.emplace(++mLastId, Watched{ aSocket, deadline });
  return mLastId;
}

void
ConnectionDeadlines::Remove(std::uint64_t aId)
{
  const std::lock_guard lock(mMutex);
  mWatched.erase(aId);
}

void
ConnectionDeadlines::Run()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    mWake.wait_for(lock, kCheckInterval, [this] { return mIsStopping; });
    CloseExpired(EventLoop::Now());
  }
}

void
ConnectionDeadlines::CloseExpired(Instant aNow)
{
  for (auto& [number, watched] : mWatched) {
    if (watched.mDeadline <= aNow) {
      ShutDown(watched.mSocket);
      watched.mDeadline = Instant::max();
    }
  }
}

} // namespace heatherfork::detail
