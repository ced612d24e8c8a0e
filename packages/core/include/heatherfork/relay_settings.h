#pragma once

#include <algorithm>
#include <cstdint>

#include "heatherfork/time.h"

/// Parameters of the relay, from the settings file.
namespace heatherfork {

struct RelaySettings
{
  // Retry budget of each service over all nodes.
  double mRetryRatio = 0.2; ///< Of the requests in the window.
  int mRetrySlack = 0;      ///< In addition, over all nodes together.
  Duration mRetryWindow = Milliseconds(10000);

  // Limits on how late a published change takes effect.
  Duration mMaxRoutingDelay = Milliseconds(2000); ///< Until new routes apply.
  Duration mMaxLeavingDelay = Milliseconds(2000); ///< Until a leaving replica
                                                  ///< gets no new requests.

  /// Until a withdrawn key is refused, whether or not the store and other nodes
  /// can be reached; 0: no such limit.
  Duration mMaxKeyDelay{};

  // Quotas over all nodes.
  Duration mQuotaWindow = Milliseconds(8000);
  double mQuotaOvershoot = 0;   ///< Tolerated, as a share of the limit.
  std::int64_t mQuotaSlack = 0; ///< Tolerated in addition, in units.

  Duration mGracePeriod =
    Milliseconds(8000); ///< From the stop signal to the exit.
  Duration mEntriesValidity = Milliseconds(2000);

  auto operator<=>(const RelaySettings&) const = default;
};

/// How long requests are accepted after the stop signal, as callers may still
/// use a list of nodes that includes this one.
inline Duration
LeavingAcceptTime(const RelaySettings& aSettings)
{
  return std::min(Milliseconds(3000), aSettings.mGracePeriod / 2);
}

/// Latest exit after the stop signal. The rest of the grace period is for final
/// messages to other nodes and the process exit. It must stay below a sixth,
/// as callers are promised that work goes on until the last sixth.
inline Duration
LatestExit(const RelaySettings& aSettings)
{
  constexpr int kReserveDivisor = 10;
  return aSettings.mGracePeriod - aSettings.mGracePeriod / kReserveDivisor;
}

/// When a planned stop ends the requests that are still open, so that their
/// callers receive an answer before the exit.
inline Duration
LatestAnswer(const RelaySettings& aSettings)
{
  constexpr int kAnswerDivisor = 40;
  return LatestExit(aSettings) - aSettings.mGracePeriod / kAnswerDivisor;
}

} // namespace heatherfork
