#pragma once

#include <string>
#include <variant>
#include <vector>

#include "heatherfork/effect.h"
#include "heatherfork/relay_event.h"

/// Everything that the relay of opaque requests does to the world, as data.
namespace heatherfork {

/// What a replica is asked for.
enum class RelayStage : std::uint8_t
{
  kWhole,   ///< The answer, with nothing done before.
  kPrefill, ///< Only to compute the prompt's KV cache.
  kDecode,  ///< The answer, from a KV cache that another replica holds.
};

/// Sends the caller's request to a replica; a RelayEnded follows.
struct StartCall
{
  RelayCallId mCall;
  RelayStage mStage = RelayStage::kWhole;
  ServerName mServer;
  Address mAddress;
  Instant mDeadline{};
  bool mIsStream = false;
  bool mFresh = false;        ///< On a connection of its own.
  Duration mFirstByteLimit{}; ///< Silence that ends the call; 0: none.
  Duration mSilenceLimit{};   ///< The same between two events.
  Address mKvHolder;          ///< Of kDecode.
  std::string mCacheId;
  std::string mResumeAfter; ///< Id of an event; empty: from the beginning.
  auto operator<=>(const StartCall&) const = default;
};

/// Closes the call's connection; no RelayEnded follows.
struct StopCall
{
  RelayCallId mCall;
  auto operator<=>(const StopCall&) const = default;
};

/// Answers a caller with an error of this node.
struct RefuseCaller
{
  CallerId mCaller = 0;
  Error mError;
  Duration mRetryAfter{}; ///< 0: nothing is said.
  auto operator<=>(const RefuseCaller&) const = default;
};

/// Passes on the answer that came with the call.
struct PassAnswer
{
  RelayCallId mCall;
  auto operator<=>(const PassAnswer&) const = default;
};

/// Ends a stream that has begun so that it is seen to be incomplete.
struct BreakStream
{
  CallerId mCaller = 0;
  auto operator<=>(const BreakStream&) const = default;
};

/// Frees a KV cache that nobody will fetch.
struct FreeKv
{
  Address mHolder;
  std::string mCacheId;
  auto operator<=>(const FreeKv&) const = default;
};

/// A decision or a change of belief, for the log.
struct RelayNote
{
  std::string mEvent;   ///< Stable name.
  std::string mRequest; ///< The caller's id; empty when none is concerned.
  std::string mText;    ///< "key=value" pairs.
  auto operator<=>(const RelayNote&) const = default;
};

/// How far a request has come, for the metrics.
enum class RelayOutcome : std::uint8_t
{
  kBegan,     ///< The first event of a stream went to the caller.
  kAnswered,  ///< With what a replica said.
  kRefused,   ///< With an error of this node.
  kBroken,    ///< A stream ended before its end.
  kAbandoned, ///< The caller left.
};

/// "began", "answered", "refused", "broken" or "abandoned".
const char*
ToString(RelayOutcome aOutcome);

/// One outcome of a request; kBegan comes before another one.
struct RelayMeasured
{
  ServiceName mService; ///< Empty without a route.
  RelayOutcome mOutcome = RelayOutcome::kAnswered;
  Duration mTook{}; ///< Since the request came.
  auto operator<=>(const RelayMeasured&) const = default;
};

using RelayEffect = std::variant<StartCall,
                                 StopCall,
                                 RefuseCaller,
                                 PassAnswer,
                                 BreakStream,
                                 FreeKv,
                                 RelayNote,
                                 RelayMeasured,
                                 SendToPeer,
                                 ExitProcess>;

using RelayEffects = std::vector<RelayEffect>;

} // namespace heatherfork
