#include "heatherfork/detail/runtime/event_loop.h"

#include <algorithm>
#include <future>

namespace heatherfork::detail {

EventLoop::EventLoop(const NodeSettings& aSettings, EffectHandler& aHandler)
  : mReducer(aSettings)
  , mHandler(aHandler)
  , mTimerInterval(aSettings.mPolicy.mTimerInterval)
{
}

EventLoop::~EventLoop()
{
  Stop();
}

void
EventLoop::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
EventLoop::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
EventLoop::Post(EventBody aBody)
{
  {
    const std::lock_guard lock(mMutex);
    mEvents.push_back(std::move(aBody));
  }
  mWake.notify_one();
}

void
EventLoop::Inspect(const std::function<void(const Reducer&)>& aFunction)
{
  std::promise<void> done;
  std::future<void> ready = done.get_future();
  {
    const std::lock_guard lock(mMutex);
    if (mIsStopping) {
      return;
    }
    mInspections.emplace_back([&] {
      aFunction(mReducer);
      done.set_value();
    });
  }
  mWake.notify_one();
  ready.wait();
}

Instant
EventLoop::Now()
{
  using Steady = std::chrono::steady_clock;
  // The wall clock is read only once, so that event times never decrease.
  static const Instant kWallAtStart =
    std::chrono::floor<Duration>(std::chrono::system_clock::now());
  static const Steady::time_point kSteadyAtStart = Steady::now();
  return kWallAtStart +
         std::chrono::duration_cast<Duration>(Steady::now() - kSteadyAtStart);
}

void
EventLoop::Run()
{
  Instant nextTimer = Now();
  std::unique_lock lock(mMutex);
  while (true) {
    const Duration untilTimer = std::max(Duration(0), nextTimer - Now());
    mWake.wait_for(lock, untilTimer, [this] {
      return mIsStopping || !mEvents.empty() || !mInspections.empty();
    });
    std::deque<EventBody> events;
    std::deque<std::function<void()>> inspections;
    events.swap(mEvents);
    inspections.swap(mInspections);
    const bool isStopping = mIsStopping;
    lock.unlock();
    for (EventBody& body : events) {
      ReduceEvent(std::move(body));
    }
    for (const std::function<void()>& inspection : inspections) {
      inspection();
    }
    if (isStopping) {
      return;
    }
    if (Now() >= nextTimer) {
      ReduceEvent(TimerFired{});
      nextTimer = Now() + mTimerInterval;
    }
    lock.lock();
  }
}

void
EventLoop::ReduceEvent(EventBody aBody)
{
  mLastEventTime = std::max(mLastEventTime, Now());
  const Event event{ mLastEventTime, std::move(aBody) };
  const Effects effects = mReducer.Reduce(event);
  mHandler.Observe(event, effects);
  for (const Effect& effect : effects) {
    mHandler.Handle(effect);
  }
}

} // namespace heatherfork::detail
