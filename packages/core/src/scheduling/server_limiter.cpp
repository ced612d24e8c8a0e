#include "heatherfork/detail/scheduling/server_limiter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace heatherfork::detail {

namespace {

// Without any request nobody would notice the end of a limit.
constexpr double kMinRate = 0.25;

// Requests that were held back must not arrive together when a limit ends.
constexpr Duration kDoublingTime = Milliseconds(500);
constexpr Duration kReturnTime = Milliseconds(3000);
constexpr double kMinReturnRate = 1;

// Tokens are spent on events and timers, so some time passes unused.
constexpr double kBurstSeconds = 0.1;

double
SecondsOf(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
ServerLimiter::Set(Instant aNow, const std::optional<RequestRate>& aRate)
{
  if (!aRate) {
    if (mRate && !mEndedAt) {
      mEndedAt = aNow;
    }
    return;
  }
  mTokens = RateAt(aNow, 1) ? Tokens(aNow, 1) : 0;
  mCountedAt = aNow;
  mRate = aRate;
  mEndedAt.reset();
}

std::optional<double>
ServerLimiter::RateAt(Instant aNow, double aShare) const
{
  if (!mRate) {
    return std::nullopt;
  }
  const double rate = std::max(mRate->PerSecond(), kMinRate);
  if (!mEndedAt) {
    return rate * aShare;
  }
  const Duration since = aNow - *mEndedAt;
  if (since >= kReturnTime) {
    return std::nullopt;
  }
  const double growth = std::exp2(SecondsOf(since) / SecondsOf(kDoublingTime));
  return std::max(rate, kMinReturnRate) * growth * aShare;
}

double
ServerLimiter::Tokens(Instant aNow, double aShare) const
{
  const double rate = RateAt(aNow, aShare).value_or(0);
  const double most = 1 + kBurstSeconds * rate;
  return std::min(most, mTokens + rate * SecondsOf(aNow - mCountedAt));
}

int
ServerLimiter::Available(Instant aNow, double aShare) const
{
  return RateAt(aNow, aShare) ? static_cast<int>(Tokens(aNow, aShare))
                              : std::numeric_limits<int>::max();
}

Duration
ServerLimiter::NextIn(Instant aNow, double aShare) const
{
  const std::optional<double> rate = RateAt(aNow, aShare);
  const double missing = 1 - Tokens(aNow, aShare);
  if (!rate || missing <= 0) {
    return Duration{};
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(missing / *rate));
}

void
ServerLimiter::Take(Instant aNow, double aShare)
{
  if (RateAt(aNow, aShare)) {
    mTokens = Tokens(aNow, aShare) - 1;
    mCountedAt = aNow;
  }
}

} // namespace heatherfork::detail
