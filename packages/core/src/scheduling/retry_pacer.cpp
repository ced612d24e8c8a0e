#include "heatherfork/detail/scheduling/retry_pacer.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// One release in this many is planned for a retry. New requests can still meet
// their target and take precedence.
constexpr int kReleasesPerRetry = 2;

// A caller retries within a fraction of its deadline. Later requests with the
// same content count as new.
constexpr Duration kRetention = Milliseconds(15000);

constexpr std::size_t kMaxEntries = 4096; // 64 bytes per entry.

} // namespace

Duration
RetryPacer::AssignDelay(Instant aNow,
                        std::uint64_t aContentFingerprint,
                        Duration aReleaseInterval,
                        Duration aMaxDelay)
{
  PruneExpired(aNow);
  const Duration step = aReleaseInterval * kReleasesPerRetry;
  mNextRetryAt = std::max(mNextRetryAt, aNow) + step;
  // Retries beyond the maximum delay share the same time.
  mNextRetryAt = std::min(mNextRetryAt, aNow + aMaxDelay);
  if (mRememberedUntil.insert_or_assign(aContentFingerprint, aNow + kRetention)
        .second) {
    mInsertionOrder.push_back(aContentFingerprint);
  }
  return mNextRetryAt - aNow;
}

bool
RetryPacer::IsRetry(Instant aNow, std::uint64_t aContentFingerprint)
{
  PruneExpired(aNow);
  return mRememberedUntil.contains(aContentFingerprint);
}

void
RetryPacer::PruneExpired(Instant aNow)
{
  while (!mInsertionOrder.empty()) {
    const auto it = mRememberedUntil.find(mInsertionOrder.front());
    if (it != mRememberedUntil.end() && it->second > aNow &&
        mInsertionOrder.size() <= kMaxEntries) {
      return;
    }
    if (it != mRememberedUntil.end()) {
      mRememberedUntil.erase(it);
    }
    mInsertionOrder.pop_front();
  }
}

} // namespace heatherfork::detail
