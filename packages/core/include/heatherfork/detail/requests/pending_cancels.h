#pragma once

#include <map>
#include <utility>

#include "heatherfork/detail/context.h"

/// Cancels that backend servers have not acknowledged yet.
namespace heatherfork::detail {

/// Repeats each cancel until the backend server acknowledges it or the give-up
/// time has passed, so that ended attempts do not hold engine memory.
class PendingCancels
{
public:
  /// Sends a cancel for one attempt and tracks it until it is acknowledged.
  void Add(Context& aContext,
           const AttemptId& aAttempt,
           const ServerName& aServer,
           const Address& aAddress);

  /// Does the same for all attempts of a dead node up to a sequence number.
  void AddRange(Context& aContext,
                const CancelRangeCall& aRange,
                const ServerName& aServer,
                const Address& aAddress);

  /// Removes a cancel that the backend server has acknowledged.
  void On(const ServerReplied& aReplied);

  /// Resends due cancels and drops those past their give-up time.
  void On(Context& aContext, const TimerFired& aTimer);

  bool Empty() const { return mCancels.empty(); }

private:
  struct Cancel
  {
    Address mAddress;
    ServerCall mCall;
    Instant mNextSend{};
    Instant mGiveUp{};
  };
  using CancelKey = std::pair<AttemptId, ServerName>;

  void Begin(Context& aContext,
             const CancelKey& aKey,
             const Address& aAddress,
             const ServerCall& aCall);
  void Send(Context& aContext, const CancelKey& aKey, Cancel& aCancel) const;

  std::map<CancelKey, Cancel> mCancels;
  Instant mNextScan{};
};

} // namespace heatherfork::detail
