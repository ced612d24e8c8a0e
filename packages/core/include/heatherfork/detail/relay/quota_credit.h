#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "heatherfork/detail/relay/quota_plan.h"
#include "heatherfork/peer_message.h"
#include "heatherfork/quota_counts.h"
#include "heatherfork/relay_event.h"

/// A node's side of the quota of one workspace.
namespace heatherfork::detail {

/// What becomes of a request that a quota counts.
enum class QuotaVerdict : std::uint8_t
{
  kGranted,
  kWaits,       ///< For credit; a QuotaDecision follows.
  kOverLimit,   ///< Beyond rate and burst.
  kUnconfirmed, ///< The owner of the quota has not answered.
};

struct QuotaDecision
{
  CallerId mCaller = 0;
  QuotaVerdict mVerdict = QuotaVerdict::kGranted;
  Duration mRetryAfter{};

  auto operator<=>(const QuotaDecision&) const = default;
};

class QuotaCreditAccount
{
public:
  /// Takes the units for a request, or lets it wait at most until aUntil.
  QuotaDecision Take(Instant aNow,
                     CallerId aCaller,
                     std::int64_t aUnits,
                     Instant aUntil);

  /// A waiting request has ended.
  void Leave(CallerId aCaller);

  /// The units of a granted request that did not run.
  void GiveBack(Instant aNow, std::int64_t aUnits, Instant aValidUntil);

  /// Whether there may be something to ask for.
  bool IsActive(Instant aNow) const;

  /// What to ask aOwner for now, if anything. aInterval: minimum time between
  /// two questions; 0 for this node itself, which is asked for nothing ahead.
  std::optional<QuotaNeed> NextNeed(Instant aNow,
                                    const NodeId& aOwner,
                                    const QuotaPlan& aPlan,
                                    Duration aInterval);

  /// An answer of aLender to the question sent at aSentAt.
  std::vector<QuotaDecision> On(Instant aNow,
                                const QuotaCredit& aCredit,
                                const NodeId& aLender,
                                Instant aSentAt);

  /// Drops credit that has lapsed, and ends waits that are too long.
  std::vector<QuotaDecision> Expire(Instant aNow);

  /// Grants what waits, as the quota is gone.
  std::vector<QuotaDecision> GrantAll();

  std::int64_t Units() const;
  bool IsIdle(Instant aNow) const;
  const QuotaCounts& Counts() const { return mCounts; }

private:
  struct Waiting
  {
    CallerId mCaller = 0;
    std::int64_t mUnits = 0;
    Instant mUntil{};
  };

  struct Credit
  {
    std::int64_t mUnits = 0;
    Instant mValidUntil{};
    NodeId mLender; ///< Of incarnation 0: given back by a request.
  };

  bool Spend(Instant aNow, std::int64_t aUnits);
  void Lapse(Instant aNow);
  void ReturnUnused(Credit& aCredit);
  std::vector<QuotaDecision> ServeWaiting(Instant aNow);
  QuotaDecision RefusalOf(Instant aNow, const Waiting& aWaiting);
  double DemandRate(Instant aNow) const;

  std::deque<Credit> mCredits; ///< In the order of their lapse.
  std::deque<Waiting> mWaiting;
  NodeId mLender; ///< Of mReturned.
  std::int64_t mReturned = 0;
  Instant mAskedAt{};
  bool mIsAsked = false; ///< And not answered.
  Instant mEmptyUntil{};
  Instant mBacklogUntil{};
  double mDemand = 0; ///< Units, decaying, at mDemandAt.
  Instant mDemandAt{};
  std::int64_t mLastUnits = 0; ///< Of the latest request.
  QuotaCounts mCounts;
};

} // namespace heatherfork::detail
