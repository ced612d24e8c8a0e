#include "heatherfork/detail/relay/io_loop.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <utility>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace heatherfork::relay {

namespace {

constexpr int kMaxEventsPerWait = 128; // Events polled per Wait.

std::uint32_t
EventsOf(IoInterest aInterest)
{
  std::uint32_t events = 0;
  events |= aInterest.mRead ? static_cast<std::uint32_t>(EPOLLIN) : 0;
  events |= aInterest.mWrite ? static_cast<std::uint32_t>(EPOLLOUT) : 0;
  return events;
}

std::uint64_t
TagOf(int aDescriptor, std::uint32_t aGeneration)
{
  return std::uint64_t{ aGeneration } << 32 |
         static_cast<std::uint32_t>(aDescriptor);
}

} // namespace

Instant
SteadyNow()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(now));
}

IoLoop::IoLoop()
  : mEpollDescriptor(epoll_create1(EPOLL_CLOEXEC))
  , mWakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
  if (mEpollDescriptor < 0 || mWakeDescriptor < 0) {
    std::abort(); // Nothing can run without these descriptors.
  }
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = TagOf(mWakeDescriptor, 0);
  epoll_ctl(mEpollDescriptor, EPOLL_CTL_ADD, mWakeDescriptor, &event);
}

IoLoop::~IoLoop()
{
  close(mWakeDescriptor);
  close(mEpollDescriptor);
}

void
IoLoop::SetErrorHandler(std::function<void(const std::string&)> aHandler)
{
  mErrorHandler = std::move(aHandler);
}

// One bad message must not end the process and with it every other request.
template<class Function>
bool
IoLoop::Guard(const Function& aFunction)
{
  try {
    aFunction();
    return true;
  } catch (const std::exception& e) {
    if (mErrorHandler) {
      mErrorHandler(e.what());
    }
    return false;
  }
}

void
IoLoop::Set(int aDescriptor, IoInterest aInterest, IoHandler& aHandler)
{
  const auto [it, isNew] = mEntries.try_emplace(aDescriptor);
  Entry& entry = it->second;
  if (isNew) {
    entry.mGeneration = ++mLastGeneration;
  } else if (entry.mInterest == aInterest && entry.mHandler == &aHandler) {
    return;
  }
  entry.mHandler = &aHandler;
  entry.mInterest = aInterest;
  epoll_event event{};
  event.events = EventsOf(aInterest);
  event.data.u64 = TagOf(aDescriptor, entry.mGeneration);
  epoll_ctl(mEpollDescriptor,
            isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
            aDescriptor,
            &event);
}

void
IoLoop::Remove(int aDescriptor)
{
  if (mEntries.erase(aDescriptor) > 0) {
    epoll_ctl(mEpollDescriptor, EPOLL_CTL_DEL, aDescriptor, nullptr);
  }
}

IoLoop::Entry*
IoLoop::Find(TurnQueue::Key aKey)
{
  const auto it = mEntries.find(static_cast<int>(aKey & 0xffffffffU));
  const auto generation = static_cast<std::uint32_t>(aKey >> 32);
  return it == mEntries.end() || it->second.mGeneration != generation
           ? nullptr
           : &it->second;
}

void
IoLoop::Wait(Duration aLimit)
{
  Poll(mTurns.IsEmpty() ? aLimit : Duration{});
  ServeRound();
  RunPosted();
}

void
IoLoop::Poll(Duration aLimit)
{
  std::array<epoll_event, kMaxEventsPerWait> ready{};
  const auto limit = static_cast<int>((aLimit.count() + 999) / 1000);
  const int count =
    epoll_wait(mEpollDescriptor, ready.data(), kMaxEventsPerWait, limit);
  for (int n = 0; n < count; ++n) {
    const epoll_event& event = ready[static_cast<std::size_t>(n)];
    if (event.data.u64 == TagOf(mWakeDescriptor, 0)) {
      std::uint64_t value = 0;
      while (read(mWakeDescriptor, &value, sizeof(value)) > 0) {
      }
      continue;
    }
    if (Entry* entry = Find(event.data.u64)) {
      if (entry->mPending == 0) {
        mTurns.Add(event.data.u64, entry->mWasLong);
      }
      entry->mPending = event.events;
    }
  }
}

void
IoLoop::ServeRound()
{
  mTurns.BeginRound();
  const Instant begin = SteadyNow();
  Instant now = begin;
  while (const auto key = mTurns.TakeNext(now - begin)) {
    Serve(*key);
    const Instant end = SteadyNow();
    RecordTurn(*key, end - now);
    now = end;
  }
}

void
IoLoop::RecordTurn(TurnQueue::Key aKey, Duration aTook)
{
  if (Entry* entry = Find(aKey)) {
    entry->mWasLong = aTook >= kLongTurn;
  }
}

// The events were polled before the turns of others, which may have removed the
// descriptor or changed its interest.
void
IoLoop::Serve(TurnQueue::Key aKey)
{
  Entry* entry = Find(aKey);
  if (entry == nullptr) {
    return;
  }
  const std::uint32_t wanted = EventsOf(entry->mInterest) | EPOLLERR | EPOLLHUP;
  const std::uint32_t events = std::exchange(entry->mPending, 0U) & wanted;
  if (events == 0) {
    return;
  }
  IoHandler& handler = *entry->mHandler;
  const bool hasReturned = Guard([&] {
    handler.OnIo((events & EPOLLIN) != 0,
                 (events & EPOLLOUT) != 0,
                 (events & (EPOLLERR | EPOLLHUP)) != 0);
  });
  // The handler may have closed its descriptor, or destroyed itself.
  if (!hasReturned && Find(aKey) != nullptr) {
    Remove(static_cast<int>(aKey & 0xffffffffU));
    Guard([&] { handler.OnFault(); });
  }
}

void
IoLoop::Post(std::function<void()> aFunction)
{
  {
    const std::lock_guard lock(mMutex);
    mPosted.push_back(std::move(aFunction));
  }
  const std::uint64_t one = 1;
  // The write fails only when the counter is full, which wakes the loop too.
  [[maybe_unused]] const auto written =
    write(mWakeDescriptor, &one, sizeof(one));
}

void
IoLoop::RunPosted()
{
  std::vector<std::function<void()>> posted;
  {
    const std::lock_guard lock(mMutex);
    posted.swap(mPosted);
  }
  for (const auto& function : posted) {
    Guard(function);
  }
}

} // namespace heatherfork::relay
