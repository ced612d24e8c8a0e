#pragma once

#include <string>
#include <vector>

#include "heatherfork/configuration.h"
#include "heatherfork/ids.h"
#include "heatherfork/peer_message.h"
#include "heatherfork/request.h"

/// A request between its acceptance and its answer.
namespace heatherfork::detail {

/// The phase of a running request.
enum class Phase : std::uint8_t
{
  kForwarded,    ///< The home runs it; this node awaits the answer.
  kPlacing,      ///< A placement was requested from the scheduler.
  kReserving,    ///< A slot and KV cache pieces were requested.
  kPrefilling,   ///< The prefill server processes the prompt.
  kTransferring, ///< The KV cache is sent to the decode server.
  kDecoding,     ///< The decode server streams tokens.
  kCalling,      ///< A plain service is being called.
  kWaiting,      ///< Backoff before the next attempt.
};

/// A caller of this node that awaits the answer.
struct Waiter
{
  CallerId mCaller = 0;
  bool mIsStreaming = false;
  int mTokensSent = 0;
  std::size_t mTextSent = 0; ///< In bytes.
};

/// A node that forwarded the request and awaits the answer.
struct RemoteWaiter
{
  NodeId mNode;
  std::uint64_t mForward = 0;

  auto operator<=>(const RemoteWaiter&) const = default;
};

/// A backend server with its address at the start of the attempt.
struct ChosenServer
{
  ServerName mName;
  Address mAddress;
};

/// One attempt to run the request.
struct Attempt
{
  AttemptId mId; ///< Sequence 0: no attempt.
  NodeId mScheduler;
  ChosenServer mPrefill;
  ChosenServer mServer; ///< Decode server or plain service.
  Instant mStepStarted{};
  Instant mKeptAt{}; ///< Last timeout after which a step went on.
  bool mIsIsolated = false;
  bool mIsQueued = false;
  int mResumeCount = 0;
  int mTokensAtResume = 0; ///< Received before the last resume.
};

using RequestNumber = std::uint64_t;

/// A request with its waiters and its current attempt.
struct RunningRequest
{
  RequestNumber mNumber = 0;
  Request mRequest;
  WorkClass mClass;
  bool mHasRecord = false; ///< It has a record in KeyRecords.
  std::vector<Waiter> mWaiters;
  std::vector<RemoteWaiter> mRemoteWaiters;
  Phase mPhase = Phase::kPlacing;
  Attempt mAttempt;
  int mAttemptCount = 0;
  bool mMayHaveRun = false;            ///< In any attempt.
  bool mShouldScheduleLocally = false; ///< The shard's scheduler failed.
  std::vector<ServerName> mExcluded;
  std::string mText; ///< Output of the current attempt so far.
  int mTokens = 0;
  Instant mNextAttempt{};

  bool HasWaiters() const
  {
    return !mWaiters.empty() || !mRemoteWaiters.empty();
  }
};

} // namespace heatherfork::detail
