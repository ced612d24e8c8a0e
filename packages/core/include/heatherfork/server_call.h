#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// Calls to backend servers and their replies (docs/protocols/engine.md).
namespace heatherfork {

/// Reserves a decode slot and KV cache pieces for an attempt.
struct ReserveCall
{
  int mPieces = 0;
  auto operator<=>(const ReserveCall&) const = default;
};

/// Computes a prompt's KV cache.
struct PrefillCall
{
  ModelName mModel;
  AdapterName mAdapter;
  std::string mPrompt;
  int mPromptTokens = 0;
  int mPriority = 0;
  auto operator<=>(const PrefillCall&) const = default;
};

/// Makes a prefill server send an attempt's KV cache to a decode server.
struct TransferCall
{
  Address mTo;
  auto operator<=>(const TransferCall&) const = default;
};

/// Streams an attempt's tokens, starting at an offset.
struct DecodeCall
{
  int mMaxTokens = 0;
  int mOffset = 0;
  int mPriority = 0;
  auto operator<=>(const DecodeCall&) const = default;
};

/// A call of a plain service.
struct PlainCall
{
  std::string mCall;
  std::string mBody;
  bool mMustNotRepeat = false; ///< Sent once, on a new connection.
  auto operator<=>(const PlainCall&) const = default;
};

/// Cancels an attempt: frees its memory and refuses a later start.
struct CancelCall
{
  auto operator<=>(const CancelCall&) const = default;
};

/// Cancels all attempts of one incarnation up to a sequence number.
struct CancelRangeCall
{
  Incarnation mIncarnation = 0;
  std::uint64_t mLast = 0;
  auto operator<=>(const CancelRangeCall&) const = default;
};

/// The kind of an order.
enum class OrderKind : std::uint8_t
{
  kLoadModel,
  kUnloadModel,
  kLoadAdapter,
  kUnloadAdapter,
  kSetRole,
};

/// An order to an engine. It names a target state and is therefore idempotent.
struct OrderCall
{
  OrderKind mKind = OrderKind::kLoadModel;
  ModelName mModel;
  VersionName mVersion;
  AdapterName mAdapter;
  std::uint8_t mRole = 0;
  std::uint64_t mFence = 0; ///< Fencing number; rises with revision and turn.
  auto operator<=>(const OrderCall&) const = default;
};

/// Requests a load report.
struct ReportCall
{
  auto operator<=>(const ReportCall&) const = default;
};

using ServerCall = std::variant<ReserveCall,
                                PrefillCall,
                                TransferCall,
                                DecodeCall,
                                PlainCall,
                                CancelCall,
                                CancelRangeCall,
                                OrderCall,
                                ReportCall>;

/// How a call to a backend server ended.
enum class CallStatus : std::uint8_t
{
  kOk,
  kNotSent,   ///< No byte was written.
  kRefused,   ///< The server reported that it did not start it.
  kCancelled, ///< Not started: another node cancelled the attempt.
  kFailed,    ///< The server ran it and reported a failure.
  kBroken,    ///< Bytes were written, but no complete answer came.
};

/// The complete reply of a backend server.
struct ServerReply
{
  CallStatus mStatus = CallStatus::kBroken;
  std::string mBody;
  int mTokens = 0;       ///< Decode: tokens so far. Prefill: prompt tokens.
  int mCachedTokens = 0; ///< Prefill: tokens found in the prefix cache.
  auto operator<=>(const ServerReply&) const = default;
};

/// A report of a backend server's load at `mMeasuredAt`. It may be stale.
struct LoadReport
{
  int mRunning = 0;
  int mQueued = 0;
  int mFreePieces = 0;
  Instant mMeasuredAt{};
  auto operator<=>(const LoadReport&) const = default;
};

} // namespace heatherfork
