#include "heatherfork/detail/runtime/worker_pool.h"

namespace heatherfork::detail {

WorkerPool::WorkerPool(std::size_t aMaxThreads)
  : mMaxThreads(aMaxThreads)
{
}

WorkerPool::~WorkerPool()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
    mJobs.clear();
  }
  mWake.notify_all();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
WorkerPool::Post(std::function<void()> aJob)
{
  const std::lock_guard lock(mMutex);
  if (mIsStopping) {
    return;
  }
  mJobs.push_back(std::move(aJob));
  if (mIdleThreads < mJobs.size() && mThreads.size() < mMaxThreads) {
    mThreads.emplace_back([this] { RunThread(); });
  }
  mWake.notify_one();
}

void
WorkerPool::RunThread()
{
  std::unique_lock lock(mMutex);
  while (true) {
    ++mIdleThreads;
    mWake.wait(lock, [this] { return mIsStopping || !mJobs.empty(); });
    --mIdleThreads;
    if (mIsStopping) {
      return;
    }
    const std::function<void()> job = std::move(mJobs.front());
    mJobs.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

} // namespace heatherfork::detail
