#include "heatherfork/detail/servers/engine_protocol.h"

#include "heatherfork/detail/json/json_reader.h"

namespace heatherfork::detail {

namespace {

using Poco::JSON::Object;

constexpr int kHttpOk = 200;
constexpr int kHttpFirstRedirect = 300;
constexpr int kHttpFirstClientError = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpPreconditionFailed = 412;
constexpr int kHttpServerError = 500;

const char*
ToString(OrderKind aKind)
{
  switch (aKind) {
    case OrderKind::kLoadModel:
      return "load-model";
    case OrderKind::kUnloadModel:
      return "unload-model";
    case OrderKind::kLoadAdapter:
      return "load-adapter";
    case OrderKind::kUnloadAdapter:
      return "unload-adapter";
    case OrderKind::kSetRole:
      return "set-role";
  }
  return "";
}

/// Builds the request of each kind of call.
struct RequestBuilder
{
  const AttemptId& mAttempt;

  Object WithAttempt() const
  {
    Object object;
    object.set("attempt", detail::ToString(mAttempt));
    return object;
  }

  ServerHttpRequest operator()(const ReserveCall& aCall) const
  {
    Object object = WithAttempt();
    object.set("pieces", aCall.mPieces);
    return { "POST", "/v1/reserve", ToText(object) };
  }

  ServerHttpRequest operator()(const PrefillCall& aCall) const
  {
    Object object = WithAttempt();
    object.set("model", aCall.mModel.mValue);
    object.set("adapter", aCall.mAdapter.mValue);
    object.set("prompt", aCall.mPrompt);
    object.set("prompt_tokens", aCall.mPromptTokens);
    object.set("priority", aCall.mPriority);
    return { "POST", "/v1/prefill", ToText(object) };
  }

  ServerHttpRequest operator()(const TransferCall& aCall) const
  {
    Object object = WithAttempt();
    object.set("to", aCall.mTo.mValue);
    return { "POST", "/v1/transfer", ToText(object) };
  }

  ServerHttpRequest operator()(const DecodeCall& aCall) const
  {
    Object object = WithAttempt();
    object.set("max_tokens", aCall.mMaxTokens);
    object.set("offset", aCall.mOffset);
    object.set("priority", aCall.mPriority);
    return { "POST", "/v1/decode", ToText(object) };
  }

  ServerHttpRequest operator()(const PlainCall& aCall) const
  {
    return { "POST", "/" + aCall.mCall, aCall.mBody };
  }

  ServerHttpRequest operator()(const CancelCall&) const
  {
    return { "POST", "/v1/cancel", ToText(WithAttempt()) };
  }

  ServerHttpRequest operator()(const CancelRangeCall& aCall) const
  {
    Object object;
    object.set("incarnation", ToHex(aCall.mIncarnation));
    object.set("last", ToHex(aCall.mLast));
    return { "POST", "/v1/cancel-range", ToText(object) };
  }

  ServerHttpRequest operator()(const OrderCall& aCall) const
  {
    Object object;
    object.set("kind", ToString(aCall.mKind));
    object.set("model", aCall.mModel.mValue);
    object.set("version", aCall.mVersion.mValue);
    object.set("adapter", aCall.mAdapter.mValue);
    object.set("role", static_cast<int>(aCall.mRole));
    object.set("fence", aCall.mFence);
    return { "POST", "/v1/orders", ToText(object) };
  }

  ServerHttpRequest operator()(const ReportCall&) const
  {
    return { "GET", "/v1/load", "" };
  }
};

} // namespace

ServerHttpRequest
ToHttpRequest(const AttemptId& aAttempt, const ServerCall& aCall)
{
  return std::visit(RequestBuilder{ aAttempt }, aCall);
}

CallStatus
CallStatusFromHttp(int aHttpStatus, const ServerCall& aCall)
{
  if (aHttpStatus >= kHttpOk && aHttpStatus < kHttpFirstRedirect) {
    return CallStatus::kOk;
  }
  if (std::holds_alternative<PlainCall>(aCall)) {
    const bool hasFailed =
      aHttpStatus >= kHttpFirstClientError && aHttpStatus <= kHttpServerError;
    return hasFailed ? CallStatus::kFailed : CallStatus::kBroken;
  }
  switch (aHttpStatus) {
    case kHttpNotFound:
    case kHttpConflict:
    case kHttpGone:
    case kHttpPreconditionFailed:
      return CallStatus::kRefused;
    case kHttpServerError:
      return CallStatus::kFailed;
    default:
      return CallStatus::kBroken;
  }
}

bool
IsCancelledReply(const std::string& aBody)
{
  const auto object = ParseJsonObject(aBody);
  return object.ok() && GetText(**object, "error") == "cancelled before";
}

ServerReply
ReadReply(const ServerCall& aCall, const std::string& aBody)
{
  ServerReply reply{ CallStatus::kOk, aBody };
  if (!std::holds_alternative<PrefillCall>(aCall)) {
    return reply;
  }
  const auto object = ParseJsonObject(aBody);
  const auto tokens =
    object.ok() ? GetNumber(**object, "tokens") : std::nullopt;
  if (!tokens) {
    return ServerReply{ CallStatus::kBroken, "" };
  }
  reply.mTokens = static_cast<int>(*tokens);
  reply.mCachedTokens =
    static_cast<int>(GetNumber(**object, "cached_tokens").value_or(0));
  return reply;
}

absl::StatusOr<StreamItem>
ReadStreamItem(bool aIsEnd, const std::string& aData)
{
  const auto object = ParseJsonObject(aData);
  if (!object.ok()) {
    return object.status();
  }
  const auto tokens = GetNumber(**object, "tokens");
  const auto offset = GetNumber(**object, "offset");
  const auto text = GetText(**object, "text");
  if (!tokens || (!aIsEnd && (!offset || !text))) {
    return absl::InvalidArgumentError("expected tokens, offset and text");
  }
  return StreamItem{ aIsEnd,
                     static_cast<int>(offset.value_or(0)),
                     static_cast<int>(*tokens),
                     text.value_or("") };
}

std::string
ToString(const AttemptId& aAttempt)
{
  return ToHex(aAttempt.mIncarnation) + "-" + ToHex(aAttempt.mSequence);
}

} // namespace heatherfork::detail
