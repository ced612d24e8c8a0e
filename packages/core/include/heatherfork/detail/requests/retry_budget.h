#pragma once

/// The limit on retries as a share of requests.
namespace heatherfork::detail {

/// A token bucket: each request adds a share of one retry, and each retry takes
/// one. The balance is in hundredths of a retry.
class RetryBudget
{
public:
  /// Adds `aPercent` hundredths of a retry, up to the limit.
  void OnRequest(int aPercent);

  bool CanRetry() const { return mBalance >= kOneRetry; }

  /// Takes one retry. Returns false if the budget is exhausted.
  bool TakeRetry();

private:
  static constexpr int kOneRetry = 100;
  static constexpr int kMaxBalance = 20 * kOneRetry;

  int mBalance = 10 * kOneRetry;
};

} // namespace heatherfork::detail
