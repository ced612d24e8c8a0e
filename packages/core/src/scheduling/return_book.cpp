#include "heatherfork/detail/scheduling/return_book.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// Of the places that become free, one in this many is for those who come back:
// a fresh request can still meet its target and is worth more.
constexpr int kPlacesForOneReturn = 2;

// A caller comes back within a part of its deadline; later it is a new request.
constexpr Duration kRemembered = Milliseconds(15000);

constexpr std::size_t kMostRemembered = 4096; // 64 bytes each.

} // namespace

Duration
ReturnBook::Promise(Instant aNow,
                    std::uint64_t aContent,
                    Duration aReleaseInterval,
                    Duration aMost)
{
  Forget(aNow);
  const Duration step = aReleaseInterval * kPlacesForOneReturn;
  mNextReturn = std::max(mNextReturn, aNow) + step;
  // Beyond the longest wait the returns can't be spread any more.
  mNextReturn = std::min(mNextReturn, aNow + aMost);
  if (mPromised.insert_or_assign(aContent, aNow + kRemembered).second) {
    mOrder.push_back(aContent);
  }
  return mNextReturn - aNow;
}

bool
ReturnBook::IsBack(Instant aNow, std::uint64_t aContent)
{
  Forget(aNow);
  return mPromised.contains(aContent);
}

void
ReturnBook::Forget(Instant aNow)
{
  while (!mOrder.empty()) {
    const auto it = mPromised.find(mOrder.front());
    if (it != mPromised.end() && it->second > aNow &&
        mOrder.size() <= kMostRemembered) {
      return;
    }
    if (it != mPromised.end()) {
      mPromised.erase(it);
    }
    mOrder.pop_front();
  }
}

} // namespace heatherfork::detail
