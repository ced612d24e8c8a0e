#pragma once

#include <cstdint>
#include <string>

#include "heatherfork/error.h"
#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// A caller's request and the answer to it.
namespace heatherfork {

/// What a request asks for.
enum class RequestKind : std::uint8_t
{
  kCompletion, ///< A model's tokens, by prefill and decode.
  kPlainCall,  ///< One call of a plain service.
};

/// A request after its input was checked. Immutable once it is accepted.
struct Request
{
  WorkspaceName mWorkspace;
  RequestKind mKind = RequestKind::kCompletion;
  ModelName mModel;     ///< For a completion.
  AdapterName mAdapter; ///< For a completion; may be empty.
  ServiceName mService; ///< For a plain call.
  std::string mCall;    ///< For a plain call.
  ClassName mClass;
  RequestKey mKey;       ///< Empty when the caller gave none.
  NodeId mHome;          ///< Incarnation 0 when the caller gave none.
  Instant mKeyExpires{}; ///< The caller sends the key no more after this.
  Instant mDeadline{};
  std::string mBody; ///< Prompt of a completion, body of a plain call.
  int mPromptTokens = 0;
  int mMaxTokens = 0;
  bool mStream = false;
  std::uint64_t mFingerprint = 0; ///< Workspace, target and content.

  auto operator<=>(const Request&) const = default;
};

/// A whole answer: either a body or an error.
struct Answer
{
  bool mOk = false;
  Error mError{ ErrorCode::kOutcomeUnknown, "" }; ///< Holds when not mOk.
  std::string mBody;                              ///< Holds when mOk.
  int mTokens = 0; ///< Tokens in the body of a completion.

  auto operator<=>(const Answer&) const = default;
};

} // namespace heatherfork
