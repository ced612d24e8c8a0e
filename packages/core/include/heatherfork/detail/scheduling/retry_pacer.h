#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "heatherfork/time.h"

/// Spreads the retries of refused requests over time.
namespace heatherfork::detail {

/// Assigns retry delays when a burst exceeds capacity. Each refused caller
/// retries once, after the delay in the refusal. The delays follow the rate at
/// which capacity is released, so that retries find free capacity and do not
/// compete with each other.
class RetryPacer
{
public:
  /// Returns the retry delay for a refused request, at most aMaxDelay.
  Duration AssignDelay(Instant aNow,
                       std::uint64_t aContentFingerprint,
                       Duration aReleaseInterval,
                       Duration aMaxDelay);

  /// Returns true when a request with this content was refused recently.
  bool IsRetry(Instant aNow, std::uint64_t aContentFingerprint);

private:
  void PruneExpired(Instant aNow);

  Instant mNextRetryAt{};
  std::map<std::uint64_t, Instant> mRememberedUntil; ///< By fingerprint.
  std::deque<std::uint64_t> mInsertionOrder;
};

} // namespace heatherfork::detail
