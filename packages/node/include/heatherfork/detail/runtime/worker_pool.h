#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// Thread pool for blocking calls.
namespace heatherfork::detail {

/// Runs jobs on a bounded number of threads. Starts a thread when no idle
/// thread is left for a job.
class WorkerPool
{
public:
  explicit WorkerPool(std::size_t aMaxThreads);
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Waits for running jobs; discards queued ones.
  ~WorkerPool();

  /// Queues a job. Never blocks.
  void Post(std::function<void()> aJob);

private:
  void RunThread();

  const std::size_t mMaxThreads;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<std::function<void()>> mJobs;
  std::vector<std::thread> mThreads;
  std::size_t mIdleThreads = 0;
  bool mIsStopping = false;
};

} // namespace heatherfork::detail
