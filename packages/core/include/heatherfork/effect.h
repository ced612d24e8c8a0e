#pragma once

#include <string>
#include <variant>
#include <vector>

#include "heatherfork/peer_message.h"
#include "heatherfork/request.h"
#include "heatherfork/server_call.h"

/// Effects: all actions of a node outside its own state, as data.
namespace heatherfork {

/// Answers a caller. This is the last effect for the caller's request.
struct AnswerCaller
{
  CallerId mCaller = 0;
  Answer mAnswer;
  auto operator<=>(const AnswerCaller&) const = default;
};

/// Sends tokens to a streaming caller.
struct SendTokens
{
  CallerId mCaller = 0;
  int mOffset = 0;
  std::string mText;
  auto operator<=>(const SendTokens&) const = default;
};

/// Calls a backend server. `ServerReplied` follows.
struct CallServer
{
  AttemptId mAttempt;
  ServerName mServer;
  Address mAddress;
  Instant mDeadline{};
  ServerCall mCall;
  auto operator<=>(const CallServer&) const = default;
};

/// Aborts the open call of an attempt. No `ServerReplied` follows.
struct AbortCall
{
  AttemptId mAttempt;
  auto operator<=>(const AbortCall&) const = default;
};

/// Sends a message to another node. Incarnation 0 addresses any node that
/// listens at the address.
struct SendToPeer
{
  NodeId mPeer;
  PeerMessage mMessage;
  Address mAddress; ///< Empty if the node is not a member.
  auto operator<=>(const SendToPeer&) const = default;
};

/// Logs a decision.
struct LogDecision
{
  AttemptId mAttempt;
  CallerId mCaller = 0; ///< The first waiter; 0 if there is none.
  std::string mText;
  auto operator<=>(const LogDecision&) const = default;
};

/// Reads the head from the configuration service. `HeadRead` follows.
struct ReadHead
{
  Revision mAfter = 0; ///< Waits for a revision above this one,
  Duration mWait{};    ///< at most for this duration.
  auto operator<=>(const ReadHead&) const = default;
};

/// Reads a part from the configuration service. `PartRead` follows.
struct ReadPart
{
  std::string mDigest;
  auto operator<=>(const ReadPart&) const = default;
};

/// Ends the process after a planned stop.
struct ExitProcess
{
  auto operator<=>(const ExitProcess&) const = default;
};

using Effect = std::variant<AnswerCaller,
                            SendTokens,
                            CallServer,
                            AbortCall,
                            SendToPeer,
                            LogDecision,
                            ExitProcess,
                            ReadHead,
                            ReadPart>;

using Effects = std::vector<Effect>;

} // namespace heatherfork
