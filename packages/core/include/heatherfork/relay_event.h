#pragma once

#include <string>
#include <variant>

#include "heatherfork/event.h"
#include "heatherfork/routing.h"

/// Everything that can happen to the relay of opaque requests.
namespace heatherfork {

/// One call to a replica for a caller's request.
struct RelayCallId
{
  CallerId mCaller = 0;
  int mNumber = 0;
  auto operator<=>(const RelayCallId&) const = default;
};

/// A caller's request was read whole.
struct RelayArrived
{
  CallerId mCaller = 0;
  RelayRequest mRequest;
  auto operator<=>(const RelayArrived&) const = default;
};

/// A caller closed its connection.
struct RelayCallerLeft
{
  CallerId mCaller = 0;
  auto operator<=>(const RelayCallerLeft&) const = default;
};

/// The first event of a stream came from a replica and is on its way to the
/// caller.
struct RelayBegan
{
  RelayCallId mCall;
  auto operator<=>(const RelayBegan&) const = default;
};

/// How a call to a replica ended.
enum class RelayResult : std::uint8_t
{
  kDone,       ///< A whole, signed success; for a stream, to its last event.
  kRanFailed,  ///< A whole, signed answer with another status.
  kNotRun,     ///< The replica said that it has not run it and will not.
  kWrongPlace, ///< Another replica has the address; not run.
  kNotSent,    ///< No byte was written.
  kBroken,     ///< Bytes were written, and nothing that can be relied on came.
};

/// A call to a replica ended.
struct RelayEnded
{
  RelayCallId mCall;
  RelayResult mResult = RelayResult::kBroken;
  int mStatus = 0;        ///< 0 when no answer came.
  std::string mCacheId;   ///< Of a prefill that is done.
  int mEvents = 0;        ///< Of a stream, in this call.
  std::string mLastEvent; ///< Id of the last one that the caller got.
  auto operator<=>(const RelayEnded&) const = default;
};

/// Routes, services and limits as now published.
struct RoutingRead
{
  RoutingPtr mRouting;
  auto operator<=>(const RoutingRead&) const = default;
};

/// The replicas as now published.
struct ReplicasRead
{
  Replicas mReplicas;
  auto operator<=>(const ReplicasRead&) const = default;
};

/// The store of the replicas' entries answers, or no longer does.
struct StoreReached
{
  bool mIsReached = false;
  auto operator<=>(const StoreReached&) const = default;
};

using RelayEventBody = std::variant<RelayArrived,
                                    RelayCallerLeft,
                                    RelayBegan,
                                    RelayEnded,
                                    RoutingRead,
                                    ReplicasRead,
                                    StoreReached,
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
