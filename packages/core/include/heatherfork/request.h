#pragma once

#include <cstdint>
#include <string>

#include "heatherfork/error.h"
#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// Requests and answers.
namespace heatherfork {

/// The kind of a request.
enum class RequestKind : std::uint8_t
{
  kCompletion, ///< Tokens of a model, by prefill and decode.
  kPlainCall,  ///< A call of a plain service.
};

/// A validated request. Immutable after it is accepted.
struct Request
{
  WorkspaceName mWorkspace;
  RequestKind mKind = RequestKind::kCompletion;
  ModelName mModel;     ///< For a completion.
  AdapterName mAdapter; ///< For a completion; may be empty.
  ServiceName mService; ///< For a plain call.
  std::string mCall;    ///< For a plain call.
  ClassName mClass;
  RequestKey mKey;       ///< Empty if the caller gave none.
  NodeId mHome;          ///< Incarnation 0 if the caller gave none.
  Instant mKeyExpires{}; ///< The caller does not use the key after this.
  Instant mDeadline{};
  std::string mBody; ///< Prompt of a completion, body of a plain call.
  int mPromptTokens = 0;
  int mMaxTokens = 0;
  bool mStream = false;
  std::uint64_t mFingerprint = 0; ///< Hash of workspace, target and content.

  auto operator<=>(const Request&) const = default;
};

/// A complete answer: a body or an error.
struct Answer
{
  bool mOk = false;
  Error mError{ ErrorCode::kOutcomeUnknown, "" }; ///< Valid if not mOk.
  std::string mBody;                              ///< Valid if mOk.
  int mTokens = 0; ///< Tokens in the body of a completion.

  auto operator<=>(const Answer&) const = default;
};

} // namespace heatherfork
