#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include <Poco/Net/HTTPClientSession.h>

#include "heatherfork/detail/runtime/worker_pool.h"
#include "heatherfork/effect.h"
#include "heatherfork/event.h"

/// HTTP client for calls to backend servers.
namespace heatherfork::detail {

/// Executes calls, each on a pooled thread and over a new connection. On a
/// kept-alive connection that the backend server has closed, the library would
/// silently send the request again.
class ServerClient
{
public:
  using Sink = std::function<void(EventBody)>;

  ServerClient(std::size_t aMaxThreads, Sink aSink);

  /// Starts a call; a ServerReplied event follows unless the call is aborted.
  void Begin(const CallServer& aCall);

  /// Aborts the open step of an attempt. Cancels are not aborted.
  void Abort(const AttemptId& aAttempt);

  /// Aborts the open steps of all attempts.
  void AbortAll();

private:
  struct OpenCall
  {
    std::mutex mMutex;
    std::unique_ptr<Poco::Net::HTTPClientSession> mSession;
    bool mIsAborted = false;
  };
  using OpenCallPtr = std::shared_ptr<OpenCall>;

  void Execute(const CallServer& aCall, const OpenCallPtr& aOpen);
  ServerReply Exchange(const CallServer& aCall, OpenCall& aOpen);
  ServerReply SendAndRead(const CallServer& aCall,
                          Poco::Net::HTTPClientSession& aSession,
                          OpenCall& aOpen);
  ServerReply ReadStream(const CallServer& aCall,
                         std::istream& aInput,
                         OpenCall& aOpen);
  void RemoveOpenCall(const CallServer& aCall, const OpenCallPtr& aOpen);
  static void Shutdown(OpenCall& aOpen);

  Sink mSink;
  std::mutex mMutex;
  std::map<AttemptId, OpenCallPtr> mOpenCalls;
  WorkerPool mPool;
};

} // namespace heatherfork::detail
