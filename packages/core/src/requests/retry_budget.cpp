#include "heatherfork/detail/requests/retry_budget.h"

#include <algorithm>

namespace heatherfork::detail {

void
RetryBudget::OnRequest(int aPercent)
{
  mBalance = std::min(mBalance + aPercent, kMaxBalance);
}

bool
RetryBudget::TakeRetry()
{
  if (!CanRetry()) {
    return false;
  }
  mBalance -= kOneRetry;
  return true;
}

} // namespace heatherfork::detail
