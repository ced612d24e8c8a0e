#pragma once

#include <string>
#include <variant>
#include <vector>

#include "heatherfork/configuration.h"
#include "heatherfork/peer_message.h"
#include "heatherfork/request.h"
#include "heatherfork/server_call.h"

/// Events: all inputs of a node, as data.
namespace heatherfork {

/// A caller's request was received and validated.
struct CallerRequested
{
  CallerId mCaller = 0;
  Request mRequest;
  auto operator<=>(const CallerRequested&) const = default;
};

/// A caller closed its connection.
struct CallerGone
{
  CallerId mCaller = 0;
  auto operator<=>(const CallerGone&) const = default;
};

/// A call to a backend server ended.
struct ServerReplied
{
  AttemptId mAttempt;
  ServerName mServer;
  ServerCall mCall;
  ServerReply mReply;
  auto operator<=>(const ServerReplied&) const = default;
};

/// Tokens of a decode stream were received.
struct TokensReceived
{
  AttemptId mAttempt;
  int mOffset = 0; ///< Number of tokens before these.
  int mCount = 0;
  std::string mText;
  auto operator<=>(const TokensReceived&) const = default;
};

/// A backend server's load report was received.
struct ReportReceived
{
  ServerName mServer;
  LoadReport mReport;
  auto operator<=>(const ReportReceived&) const = default;
};

/// A message from another node was received.
struct PeerReceived
{
  NodeId mFrom;
  PeerMessage mMessage;
  auto operator<=>(const PeerReceived&) const = default;
};

/// A message could not be sent to another node, or its connection was lost.
struct PeerLost
{
  NodeId mPeer;
  auto operator<=>(const PeerLost&) const = default;
};

/// The role of a VM.
enum class VmRole : std::uint8_t
{
  kEntry,
  kBackend,
};

/// An item of the platform's VM list.
struct VmRecord
{
  std::string mName;
  Address mPeerAddress;
  ZoneName mZone;
  VmRole mRole = VmRole::kEntry;
  bool mLeaving = false;
  auto operator<=>(const VmRecord&) const = default;
};

/// The platform's VM list was read. The list may be stale.
struct VmListRead
{
  std::vector<VmRecord> mVms;
  auto operator<=>(const VmListRead&) const = default;
};

/// A read of the configuration's head, which may be a long poll, has ended.
struct HeadRead
{
  bool mOk = false;
  std::string mBody;
  auto operator<=>(const HeadRead&) const = default;
};

/// A read of a configuration part has ended.
struct PartRead
{
  std::string mDigest;
  bool mOk = false;
  std::string mBody;
  auto operator<=>(const PartRead&) const = default;
};

/// A new configuration was read and validated.
struct ConfigurationChecked
{
  ConfigurationPtr mConfiguration;
  auto operator<=>(const ConfigurationChecked&) const = default;
};

/// The periodic timer has fired.
struct TimerFired
{
  auto operator<=>(const TimerFired&) const = default;
};

/// The operators requested a planned stop.
struct StopRequested
{
  auto operator<=>(const StopRequested&) const = default;
};

using EventBody = std::variant<CallerRequested,
                               CallerGone,
                               ServerReplied,
                               TokensReceived,
                               ReportReceived,
                               PeerReceived,
                               PeerLost,
                               ConfigurationChecked,
                               TimerFired,
                               StopRequested,
                               VmListRead,
                               HeadRead,
                               PartRead>;

/// An event with its time.
struct Event
{
  Instant mAt{};
  EventBody mBody;
  auto operator<=>(const Event&) const = default;
};

} // namespace heatherfork
