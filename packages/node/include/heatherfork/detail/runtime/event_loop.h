#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "heatherfork/reducer.h"

/// The thread that runs the reducer.
namespace heatherfork::detail {

/// Executes effects. Called on the event loop's thread; must not block.
class EffectHandler
{
public:
  EffectHandler() = default;
  EffectHandler(const EffectHandler&) = delete;
  EffectHandler& operator=(const EffectHandler&) = delete;
  virtual ~EffectHandler() = default;

  virtual void Handle(const Effect& aEffect) = 0;

  /// Called for each event with all its effects, before they are handled.
  virtual void Observe(const Event& aEvent, const Effects& aEffects) = 0;
};

/// Feeds events to a reducer in order of arrival, and a timer event at a fixed
/// interval.
class EventLoop
{
public:
  EventLoop(const NodeSettings& aSettings, EffectHandler& aHandler);
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  void Start();
  void Stop();

  /// Queues an event. Thread-safe.
  void Post(EventBody aBody);

  /// Runs a function on the event loop's thread between two events and waits
  /// for it. Returns without running it when the loop is stopping.
  void Inspect(const std::function<void(const Reducer&)>& aFunction);

  /// The reducer. Only for an EffectHandler, which is called on the event
  /// loop's thread.
  const Reducer& ReducerOnLoopThread() const { return mReducer; }

  /// The clock of events: wall time at process start plus the steady time
  /// elapsed since then.
  static Instant Now();

private:
  void Run();
  void ReduceEvent(EventBody aBody);

  Reducer mReducer;
  EffectHandler& mHandler;
  const Duration mTimerInterval;
  Instant mLastEventTime{};
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<EventBody> mEvents;
  std::deque<std::function<void()>> mInspections;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace heatherfork::detail
