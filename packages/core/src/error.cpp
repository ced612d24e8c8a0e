#include "heatherfork/error.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace heatherfork {

namespace {

constexpr std::array kErrors{
  ErrorInfo{ ErrorCode::kBadJson, "bad-json", 400, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kBadField, "bad-field", 400, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kTooLarge, "too-large", 413, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kUnauthorized, "unauthorized", 401, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kUnknownModel, "unknown-model", 404, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kUnknownCall, "unknown-call", 404, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kUnknownClass, "unknown-class", 400, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kKeyRequired, "key-required", 400, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kHomeRequired, "home-required", 400, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kKeyReused, "key-reused", 409, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kKeyExpired, "key-expired", 410, Outcome::kUnknown },
  ErrorInfo{ ErrorCode::kNotFound, "not-found", 404, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kMethodNotAllowed,
             "method-not-allowed",
             405,
             Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kSlowSender, "slow-sender", 408, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kBadHttp, "bad-http", 400, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kKeyRefused, "key-refused", 409, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kHeaderTooLarge,
             "header-too-large",
             431,
             Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kWorkspaceLimit,
             "tenant-limit",
             429,
             Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kQueueFull, "queue-full", 429, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kRecordsFull, "records-full", 503, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kDeadlineTooShort,
             "deadline-too-short",
             503,
             Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kQuotaExceeded,
             "quota-exceeded",
             429,
             Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kNodeFull, "node-full", 503, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kNoBackendServer,
             "no-backend-server",
             503,
             Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kBackendServerBusy,
             "backend-server-busy",
             503,
             Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kCrashSuspect, "crash-suspect", 422, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kCrashingContent,
             "crashing-content",
             503,
             Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kServerLimit, "server-limit", 503, Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kServerBackoff,
             "server-backoff",
             503,
             Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kKeysUnconfirmed,
             "keys-unconfirmed",
             503,
             Outcome::kNotRun },
  ErrorInfo{ ErrorCode::kOutcomeUnknown,
             "outcome-unknown",
             502,
             Outcome::kUnknown },
  ErrorInfo{ ErrorCode::kBackendServerFailed,
             "backend-server-failed",
             502,
             Outcome::kRanAndFailed },
  ErrorInfo{ ErrorCode::kStreamBroken,
             "stream-broken",
             502,
             Outcome::kUnknown },
  ErrorInfo{ ErrorCode::kDeadlinePassed,
             "deadline-passed",
             504,
             Outcome::kUnknown },
  ErrorInfo{ ErrorCode::kHomeUnreachable,
             "home-unreachable",
             502,
             Outcome::kUnknown },
  ErrorInfo{ ErrorCode::kStarting, "starting", 503, Outcome::kUnknown },
  ErrorInfo{ ErrorCode::kLeaving, "leaving", 503, Outcome::kNotRun },
};

} // namespace

std::span<const ErrorInfo>
AllErrors()
{
  return kErrors;
}

const ErrorInfo&
InfoOf(ErrorCode aCode)
{
  const auto it = std::find_if(
    kErrors.begin(), kErrors.end(), [aCode](const ErrorInfo& aInfo) {
      return aInfo.mCode == aCode;
    });
  // Unreachable: each enumerator has a row.
  if (it == kErrors.end()) {
    std::abort();
  }
  return *it;
}

std::string_view
ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kRanAndFailed:
      return "ran-and-failed";
  }
  std::abort();
}

} // namespace heatherfork
