#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// Error codes. Their numbers and identifiers are stable.
namespace heatherfork {

/// What an error states about the run at the backend server.
enum class Outcome : std::uint8_t
{
  kNotRun,       ///< The request has not run and will not run.
  kUnknown,      ///< The request may have run.
  kRanAndFailed, ///< The backend server ran it and reported a failure.
};

/// Families: 1xx input, 2xx limits, 3xx routing, 4xx outcome, 5xx node.
enum class ErrorCode : std::uint16_t
{
  kBadJson = 101,
  kBadField = 102,
  kTooLarge = 103,
  kUnauthorized = 104,
  kUnknownModel = 105,
  kUnknownCall = 106,
  kUnknownClass = 107,
  kKeyRequired = 108,
  kHomeRequired = 109,
  kKeyReused = 110,
  kKeyExpired = 111,
  kNotFound = 112,
  kMethodNotAllowed = 113,
  kSlowSender = 114,
  kBadHttp = 115,
  kKeyRefused = 116,
  kHeaderTooLarge = 117,
  kWorkspaceLimit = 201,
  kQueueFull = 202,
  kRecordsFull = 203,
  kDeadlineTooShort = 204,
  kQuotaExceeded = 205,
  kNodeFull = 206,
  kNoBackendServer = 301,
  kBackendServerBusy = 302,
  kCrashSuspect = 303,
  kCrashingContent = 304,
  kServerLimit = 305,
  kServerBackoff = 306,
  kKeysUnconfirmed = 307,
  kOutcomeUnknown = 401,
  kBackendServerFailed = 402,
  kStreamBroken = 403,
  kDeadlinePassed = 404,
  kHomeUnreachable = 405,
  kStarting = 501,
  kLeaving = 502,
};

/// A row of the table of errors.
struct ErrorInfo
{
  ErrorCode mCode;
  std::string_view mIdentifier; ///< Stable, for example "unknown-model".
  int mHttpStatus;
  Outcome mOutcome;
};

/// All errors, in ascending order of their numbers.
std::span<const ErrorInfo>
AllErrors();

/// The table row of an error.
const ErrorInfo&
InfoOf(ErrorCode aCode);

/// An error as reported to a caller.
struct Error
{
  ErrorCode mCode;
  std::string mMessage; ///< What was expected, and what was found.

  auto operator<=>(const Error&) const = default;
};

/// "not-run", "unknown" or "ran-and-failed".
std::string_view
ToString(Outcome aOutcome);

} // namespace heatherfork
