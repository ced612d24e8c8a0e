#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "heatherfork/effect.h"

/// Encodes and decodes the protocol of backend servers
/// (docs/protocols/engine.md).
namespace heatherfork::detail {

/// One HTTP request to a backend server.
struct ServerHttpRequest
{
  std::string mMethod;
  std::string mPath;
  std::string mBody;

  auto operator<=>(const ServerHttpRequest&) const = default;
};

/// One event of a decode stream.
struct StreamItem
{
  bool mIsEnd = false;
  int mOffset = 0;
  int mTokens = 0; ///< Of this event, or the total in the end event.
  std::string mText;

  auto operator<=>(const StreamItem&) const = default;
};

/// Encodes a call as an HTTP request.
ServerHttpRequest
ToHttpRequest(const AttemptId& aAttempt, const ServerCall& aCall);

/// Maps an HTTP status to the status of a call.
CallStatus
CallStatusFromHttp(int aHttpStatus, const ServerCall& aCall);

/// Returns whether the body of a refusal reports an earlier cancel of the
/// attempt.
bool
IsCancelledReply(const std::string& aBody);

/// Decodes the body of a successful reply; returns kBroken when it is
/// malformed.
ServerReply
ReadReply(const ServerCall& aCall, const std::string& aBody);

/// Decodes the data line of a stream event.
absl::StatusOr<StreamItem>
ReadStreamItem(bool aIsEnd, const std::string& aData);

/// "IIIIIIIIIIIIIIII-SSSSSSSSSSSSSSSS".
std::string
ToString(const AttemptId& aAttempt);

} // namespace heatherfork::detail
