#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include <absl/status/statusor.h>

#include "heatherfork/detail/runtime/worker_pool.h"
#include "heatherfork/effect.h"
#include "heatherfork/event.h"

/// Client of the platform's services (docs/protocols/platform.md).
namespace heatherfork::detail {

/// Executes reads of the configuration service, and polls the list of VMs at a
/// fixed interval.
class PlatformClient
{
public:
  using Sink = std::function<void(EventBody)>;

  PlatformClient(Address aConfigurationService, Address aVmList, Sink aSink);
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;
  ~PlatformClient();

  void Start();
  void Stop();

  /// Starts a read; a HeadRead or PartRead event follows.
  void Begin(const ReadHead& aRead);
  void Begin(const ReadPart& aRead);

private:
  void PollVmList();

  const Address mConfigurationService;
  const Address mVmList;
  Sink mSink;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mIsStopping = false;
  std::thread mThread;
  WorkerPool mPool;
};

/// Parses the body of GET /v1/vms; returns InvalidArgument when it is
/// malformed.
absl::StatusOr<VmListRead>
ReadVmList(const std::string& aBody);

} // namespace heatherfork::detail
