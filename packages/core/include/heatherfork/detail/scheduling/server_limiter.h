#pragma once

#include <optional>

#include "heatherfork/server_limit.h"
#include "heatherfork/time.h"

/// The pace at which a server may be sent requests.
namespace heatherfork::detail {

/// A token bucket for the limit that a server names. Once it names none any
/// more, the rate grows until the limit is gone.
class ServerLimiter
{
public:
  /// aRate: empty if the server names no limit any more.
  void Set(Instant aNow, const std::optional<RequestRate>& aRate);

  /// Drops the limit at once, for a new incarnation of the server.
  void Reset() { *this = ServerLimiter{}; }

  /// Requests a second; empty without a limit. aShare: this node's part of it.
  std::optional<double> RateAt(Instant aNow, double aShare) const;

  /// Requests that may be sent now; the largest integer without a limit.
  int Available(Instant aNow, double aShare) const;

  /// Time until the next request may be sent.
  Duration NextIn(Instant aNow, double aShare) const;

  void Take(Instant aNow, double aShare);

private:
  double Tokens(Instant aNow, double aShare) const;

  std::optional<RequestRate> mRate;
  std::optional<Instant> mEndedAt; ///< When the server named none any more.
  double mTokens = 0;
  Instant mCountedAt{};
};

} // namespace heatherfork::detail
