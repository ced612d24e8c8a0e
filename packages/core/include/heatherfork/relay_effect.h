#pragma once

#include <string>
#include <variant>
#include <vector>

#include "heatherfork/effect.h"
#include "heatherfork/relay_event.h"

/// Effects of the relay of opaque requests, as data.
namespace heatherfork {

/// What a call requests from a replica.
enum class RelayStage : std::uint8_t
{
  kFullRequest, ///< The answer, without an earlier prefill.
  kPrefill,     ///< Only the prompt's KV cache.
  kDecode,      ///< The answer, from the KV cache of another replica.
};

/// Sends the caller's request to a replica; a RelayCallEnded event follows.
struct StartCall
{
  RelayCallId mCall;
  RelayStage mStage = RelayStage::kFullRequest;
  ServerName mServer;
  Address mAddress;
  Instant mDeadline{};
  bool mIsStream = false;
  bool mNeedsNewConnection = false; ///< Opened for this call only.
  Duration mFirstByteLimit{}; ///< Silence to report before the answer; 0: none.
  Address mKvHolder;          ///< Replica with the KV cache, for kDecode.
  std::string mCacheId;
  std::string mResumeAfter;    ///< Id of an event; empty: from the start.
  bool mIsLimited = false;     ///< Report an answer that names no limit, too.
  bool mHasWorkspaces = false; ///< Names mWorkspace and withholds the key.
  WorkspaceName mWorkspace;    ///< Of the caller; empty: none.
  Instant mSendBefore{};       ///< Not sent from then on; 0: no such limit.
  auto operator<=>(const StartCall&) const = default;
};

/// Closes the call's connection; no RelayCallEnded event follows.
struct StopCall
{
  RelayCallId mCall;
  auto operator<=>(const StopCall&) const = default;
};

/// Ends the call if it is still silent; a RelayCallEnded event follows then.
struct EndSilentCall
{
  RelayCallId mCall;
  auto operator<=>(const EndSilentCall&) const = default;
};

/// Answers the caller with an error of this node.
struct RefuseCaller
{
  CallerId mCaller = 0;
  Error mError;
  Duration mRetryAfter{}; ///< 0: no retry delay is sent.
  auto operator<=>(const RefuseCaller&) const = default;
};

/// Forwards the answer of the call to the caller.
struct PassAnswer
{
  RelayCallId mCall;
  auto operator<=>(const PassAnswer&) const = default;
};

/// Ends a started stream so that the caller can detect that it is incomplete.
struct BreakStream
{
  CallerId mCaller = 0;
  auto operator<=>(const BreakStream&) const = default;
};

/// Frees a KV cache that no replica will fetch.
struct FreeKv
{
  Address mHolder;
  std::string mCacheId;
  auto operator<=>(const FreeKv&) const = default;
};

/// Tries to connect to a replica; a ServerChecked event follows.
struct CheckServer
{
  ServerName mServer;
  Address mAddress;
  auto operator<=>(const CheckServer&) const = default;
};

/// Log entry for a decision or a change in the node's view.
struct RelayLogEntry
{
  std::string mEvent;   ///< Stable event name.
  std::string mRequest; ///< The caller's request id; empty for other events.
  std::string mText;    ///< "key=value" pairs.
  auto operator<=>(const RelayLogEntry&) const = default;
};

/// Progress or result of a request, for the metrics.
enum class RelayOutcome : std::uint8_t
{
  kBegan,     ///< The first event of a stream was forwarded.
  kAnswered,  ///< With the answer of a replica.
  kRefused,   ///< With an error of this node.
  kBroken,    ///< A started stream was cut off.
  kAbandoned, ///< The caller disconnected.
};

/// "began", "answered", "refused", "broken" or "abandoned".
const char*
ToString(RelayOutcome aOutcome);

/// One outcome of a request, for the metrics; another outcome follows kBegan.
struct RelayOutcomeMeasured
{
  ServiceName mService; ///< Empty without a route.
  RelayOutcome mOutcome = RelayOutcome::kAnswered;
  Duration mElapsed{};      ///< Since the request arrived.
  WorkspaceName mWorkspace; ///< Empty without a known key.
  auto operator<=>(const RelayOutcomeMeasured&) const = default;
};

using RelayEffect = std::variant<StartCall,
                                 StopCall,
                                 EndSilentCall,
                                 RefuseCaller,
                                 PassAnswer,
                                 BreakStream,
                                 FreeKv,
                                 CheckServer,
                                 RelayLogEntry,
                                 RelayOutcomeMeasured,
                                 SendToPeer,
                                 ExitProcess>;

using RelayEffects = std::vector<RelayEffect>;

} // namespace heatherfork
