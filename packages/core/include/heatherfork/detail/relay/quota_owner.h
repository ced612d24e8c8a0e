#pragma once

#include <functional>
#include <map>

#include "heatherfork/detail/relay/quota_plan.h"
#include "heatherfork/peer_message.h"

/// The owner's side of quotas: buckets that credit is lent from.
namespace heatherfork::detail {

class QuotaOwner
{
public:
  /// Lends what a node needs as far as the bucket allows. aPart: of rate and
  /// burst that this owner may lend; aOwnedSince: a new bucket is empty at that
  /// time.
  QuotaCredit Lend(Instant aNow,
                   const QuotaNeed& aNeed,
                   const QuotaPlan& aPlan,
                   double aPart,
                   Instant aOwnedSince);

  /// Drops the buckets of workspaces that this node no longer owns.
  void Retain(const std::function<bool(const WorkspaceName&)>& aIsOwned);

  /// Drops all buckets, as after a pause.
  void Clear() { mBuckets.clear(); }

  /// Drops buckets that have been full and without questions for a while.
  void DropIdle(Instant aNow);

  std::size_t Size() const { return mBuckets.size(); }

private:
  struct Bucket
  {
    double mLevel = 0;
    Instant mAt{};          ///< Of mLevel.
    Instant mCoveredAt{};   ///< When all that was asked for can be had.
    Instant mDroppableAt{}; ///< It is full by then.
  };

  std::map<WorkspaceName, Bucket> mBuckets;
};

} // namespace heatherfork::detail
