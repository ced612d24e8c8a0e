#include "heatherfork/detail/http/connection_deadlines.h"

#include <algorithm>

#include <Poco/Exception.h>

#include "heatherfork/detail/runtime/event_loop.h"

namespace heatherfork::detail {

namespace {

constexpr Duration kCheckInterval = Milliseconds(50);

// For callers that still read their answers when the server stops.
constexpr Duration kLastAnswerTimeout = Milliseconds(1000);

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
                                  Duration aTimeout,
                                  Use aUse)
  : mDeadlines(aDeadlines)
  , mId(aDeadlines.Add(aSocket, aTimeout, aUse))
{
}

ConnectionDeadlines::Watch::~Watch()
{
  mDeadlines.Remove(mId);
}

bool
ConnectionDeadlines::Watch::HasExpired() const
{
  return mDeadlines.HasExpired(mId);
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
  const Instant now = EventLoop::Now();
  for (auto& [number, watched] : mWatched) {
    const bool isAnswering = watched.mUse == Use::kAnswering;
    watched.mDeadline =
      std::min(watched.mDeadline, isAnswering ? now + kLastAnswerTimeout : now);
  }
  CloseExpired(now);
}

std::uint64_t
ConnectionDeadlines::Add(const Poco::Net::StreamSocket& aSocket,
                         Duration aTimeout,
                         Use aUse)
{
  const std::lock_guard lock(mMutex);
  const Instant deadline =
    mIsClosing ? Instant::min() : EventLoop::Now() + aTimeout;
  mWatched.emplace(++mLastId, Watched{ aSocket, deadline, aUse });
  return mLastId;
}

bool
ConnectionDeadlines::HasExpired(std::uint64_t aId) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mWatched.find(aId);
  return it != mWatched.end() && it->second.mHasExpired;
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
    if (!watched.mHasExpired && watched.mDeadline <= aNow) {
      ShutDown(watched.mSocket);
      watched.mHasExpired = true;
    }
  }
}

} // namespace heatherfork::detail
