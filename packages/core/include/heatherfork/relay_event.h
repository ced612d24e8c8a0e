#pragma once

#include <optional>
#include <string>
#include <variant>

#include "heatherfork/event.h"
#include "heatherfork/routing.h"
#include "heatherfork/server_limit.h"

/// Events of the relay of opaque requests.
namespace heatherfork {

/// One call to a replica for a caller's request.
struct RelayCallId
{
  CallerId mCaller = 0;
  int mNumber = 0;
  auto operator<=>(const RelayCallId&) const = default;
};

/// A caller's request was read completely.
struct RelayRequestArrived
{
  CallerId mCaller = 0;
  RelayRequest mRequest;
  auto operator<=>(const RelayRequestArrived&) const = default;
};

/// A caller closed its connection.
struct RelayCallerDisconnected
{
  CallerId mCaller = 0;
  auto operator<=>(const RelayCallerDisconnected&) const = default;
};

/// A replica sent the first event of a stream, and it is being forwarded to the
/// caller.
struct RelayStreamStarted
{
  RelayCallId mCall;
  auto operator<=>(const RelayStreamStarted&) const = default;
};

/// A call has been silent for longer than its limit, or sends again after that.
/// Repeated while the silence lasts.
struct RelayCallSilence
{
  RelayCallId mCall;
  bool mIsSilent = false;
  auto operator<=>(const RelayCallSilence&) const = default;
};

/// The head of an answer names a limit of its replica, or no valid one.
struct RelayLimitSeen
{
  RelayCallId mCall;
  std::optional<RequestRate> mRate;
  bool mIsMalformed = false;
  auto operator<=>(const RelayLimitSeen&) const = default;
};

/// The head of an answer says that its replica is leaving.
struct RelayLeavingSeen
{
  RelayCallId mCall;
  auto operator<=>(const RelayLeavingSeen&) const = default;
};

/// A replica rejected the call and asked this node to back off.
struct RelayBackoffSeen
{
  RelayCallId mCall;
  std::optional<Duration> mBackoff; ///< Empty if it is malformed.
  auto operator<=>(const RelayBackoffSeen&) const = default;
};

/// How a call to a replica ended.
enum class RelayResult : std::uint8_t
{
  kDone,         ///< A complete signed success; of a stream, all events.
  kRanFailed,    ///< A complete signed answer with another status.
  kNotRun,       ///< The replica has not run the request and will not.
  kWrongReplica, ///< Another replica uses the address; not run.
  kNotSent,      ///< No byte was written.
  kBroken,       ///< Bytes were written, but no reliable answer came.
};

/// A call to a replica ended.
struct RelayCallEnded
{
  RelayCallId mCall;
  RelayResult mResult = RelayResult::kBroken;
  int mStatus = 0;                ///< 0 when no answer came.
  std::string mCacheId;           ///< Of a completed prefill.
  int mEvents = 0;                ///< Number of stream events in this call.
  std::string mLastEvent;         ///< Id of the last event sent to the caller.
  std::string mReason;            ///< Of a failure, for the log.
  bool mIsConnectionLost = false; ///< Closed or reset by the replica.
  auto operator<=>(const RelayCallEnded&) const = default;
};

/// Whether a replica that lost a call's connection still accepts new ones.
struct ServerChecked
{
  ServerName mServer;
  bool mIsDown = false;
  auto operator<=>(const ServerChecked&) const = default;
};

/// Routes, services and limits were read as published.
struct RoutingRead
{
  RoutingPtr mRouting;
  auto operator<=>(const RoutingRead&) const = default;
};

/// The store confirmed the routes of a revision. Follows their RoutingRead.
struct RoutesConfirmed
{
  Revision mRevision = 0;
  Instant mAskedAt{}; ///< Before the question was sent.
  auto operator<=>(const RoutesConfirmed&) const = default;
};

/// The replicas were read as published.
struct ReplicasRead
{
  Replicas mReplicas;
  auto operator<=>(const ReplicasRead&) const = default;
};

/// The store with the replica entries became reachable or unreachable.
struct StoreReachabilityChanged
{
  bool mIsReachable = false;
  auto operator<=>(const StoreReachabilityChanged&) const = default;
};

/// The store was restored from an earlier state: entries may be missing until
/// their replicas write them again.
struct StoreRestored
{
  auto operator<=>(const StoreRestored&) const = default;
};

using RelayEventBody = std::variant<RelayRequestArrived,
                                    RelayCallerDisconnected,
                                    RelayStreamStarted,
                                    RelayCallSilence,
                                    RelayLimitSeen,
                                    RelayLeavingSeen,
                                    RelayBackoffSeen,
                                    RelayCallEnded,
                                    ServerChecked,
                                    RoutingRead,
                                    RoutesConfirmed,
                                    ReplicasRead,
                                    StoreReachabilityChanged,
                                    StoreRestored,
                                    PeerReceived,
                                    PeerLost,
                                    TimerFired,
                                    StopRequested>;

/// One event and the time at which it happened.
struct RelayEvent
{
  Instant mAt{};
  RelayEventBody mBody;
};

} // namespace heatherfork
