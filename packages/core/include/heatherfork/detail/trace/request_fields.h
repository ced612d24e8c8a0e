#pragma once

#include "heatherfork/detail/trace/fields.h"
#include "heatherfork/ids.h"
#include "heatherfork/request.h"
#include "heatherfork/server_call.h"

/// Field lists of identifiers, requests and calls of backend servers.
namespace heatherfork::detail::trace {

template<>
inline constexpr auto kFields<NodeId> = Fields("NodeId",
                                               Field{ "name", &NodeId::mName },
                                               Field{ "incarnation",
                                                      &NodeId::mIncarnation });

template<>
inline constexpr auto kFields<AttemptId> =
  Fields("AttemptId",
         Field{ "incarnation", &AttemptId::mIncarnation },
         Field{ "sequence", &AttemptId::mSequence });

template<>
inline constexpr auto kFields<ShardId> =
  Fields("ShardId",
         Field{ "pool", &ShardId::mPool },
         Field{ "zone", &ShardId::mZone },
         Field{ "index", &ShardId::mIndex });

template<>
inline constexpr auto kFields<Error> = Fields("Error",
                                              Field{ "code", &Error::mCode },
                                              Field{ "message",
                                                     &Error::mMessage });

template<>
inline constexpr auto kFields<Request> =
  Fields("Request",
         Field{ "tenant", &Request::mWorkspace },
         Field{ "kind", &Request::mKind },
         Field{ "model", &Request::mModel },
         Field{ "adapter", &Request::mAdapter },
         Field{ "service", &Request::mService },
         Field{ "call", &Request::mCall },
         Field{ "class", &Request::mClass },
         Field{ "key", &Request::mKey },
         Field{ "home", &Request::mHome },
         Field{ "key_expires", &Request::mKeyExpires },
         Field{ "deadline", &Request::mDeadline },
         Field{ "body", &Request::mBody },
         Field{ "prompt_tokens", &Request::mPromptTokens },
         Field{ "max_tokens", &Request::mMaxTokens },
         Field{ "stream", &Request::mStream },
         Field{ "fingerprint", &Request::mFingerprint });

template<>
inline constexpr auto kFields<Answer> =
  Fields("Answer",
         Field{ "ok", &Answer::mOk },
         Field{ "error", &Answer::mError },
         Field{ "body", &Answer::mBody },
         Field{ "tokens", &Answer::mTokens });

template<>
inline constexpr auto kFields<ReserveCall> =
  Fields("ReserveCall", Field{ "pieces", &ReserveCall::mPieces });

template<>
inline constexpr auto kFields<PrefillCall> =
  Fields("PrefillCall",
         Field{ "model", &PrefillCall::mModel },
         Field{ "adapter", &PrefillCall::mAdapter },
         Field{ "prompt", &PrefillCall::mPrompt },
         Field{ "prompt_tokens", &PrefillCall::mPromptTokens },
         Field{ "priority", &PrefillCall::mPriority });

template<>
inline constexpr auto kFields<TransferCall> =
  Fields("TransferCall", Field{ "to", &TransferCall::mTo });

template<>
inline constexpr auto kFields<DecodeCall> =
  Fields("DecodeCall",
         Field{ "max_tokens", &DecodeCall::mMaxTokens },
         Field{ "offset", &DecodeCall::mOffset },
         Field{ "priority", &DecodeCall::mPriority });

template<>
inline constexpr auto kFields<PlainCall> =
  Fields("PlainCall",
         Field{ "call", &PlainCall::mCall },
         Field{ "body", &PlainCall::mBody },
         Field{ "must_not_repeat", &PlainCall::mMustNotRepeat });

template<>
inline constexpr auto kFields<CancelCall> = Fields("CancelCall");

template<>
inline constexpr auto kFields<CancelRangeCall> =
  Fields("CancelRangeCall",
         Field{ "incarnation", &CancelRangeCall::mIncarnation },
         Field{ "last", &CancelRangeCall::mLast });

template<>
inline constexpr auto kFields<OrderCall> =
  Fields("OrderCall",
         Field{ "kind", &OrderCall::mKind },
         Field{ "model", &OrderCall::mModel },
         Field{ "version", &OrderCall::mVersion },
         Field{ "adapter", &OrderCall::mAdapter },
         Field{ "role", &OrderCall::mRole },
         Field{ "fence", &OrderCall::mFence });

template<>
inline constexpr auto kFields<ReportCall> = Fields("ReportCall");

template<>
inline constexpr auto kFields<ServerReply> =
  Fields("ServerReply",
         Field{ "status", &ServerReply::mStatus },
         Field{ "body", &ServerReply::mBody },
         Field{ "tokens", &ServerReply::mTokens },
         Field{ "cached_tokens", &ServerReply::mCachedTokens });

template<>
inline constexpr auto kFields<LoadReport> =
  Fields("LoadReport",
         Field{ "running", &LoadReport::mRunning },
         Field{ "queued", &LoadReport::mQueued },
         Field{ "free_pieces", &LoadReport::mFreePieces },
         Field{ "measured_at", &LoadReport::mMeasuredAt });

} // namespace heatherfork::detail::trace
