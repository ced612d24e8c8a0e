#pragma once

#include <map>
#include <optional>
#include <vector>

#include "heatherfork/detail/relay/leaving_replicas.h"

/// Tracks the usable replicas across outages of the store.
namespace heatherfork::detail {

/// Replica entries expire during an outage of the store, although the replicas
/// are alive, or are lost when it is restored from an earlier state, and are
/// written again soon afterwards. An entry that vanishes around either is
/// retained until then.
class ReplicaRegistry
{
public:
  void OnStoreReachability(Instant aNow, bool aIsReachable);
  void OnStoreRestored(Instant aNow);

  /// Replaces the published replicas.
  void OnPublished(Instant aNow, Replicas aPublished);

  /// Marks a replica as leaving. Returns whether the mark is new.
  bool MarkLeaving(Instant aNow, const LeavingServer& aServer);

  /// The replicas that are leaving though their entries do not say so.
  std::vector<LeavingServer> LeavingUnpublished() const;

  /// Evicts retained replicas once the retention is over; true when any was
  /// evicted.
  bool Expire(Instant aNow);

  /// Published and retained replicas, ordered by name.
  const Replicas& Effective() const { return mEffective; }

private:
  bool AreEntriesUnreliable(Instant aNow) const;
  void RebuildEffective();

  Replicas mPublished;
  LeavingReplicas mLeaving;
  std::map<ServerName, Replica> mRetained;
  Replicas mEffective;
  bool mIsStoreReachable = false;
  bool mWasStoreLost = false; ///< The store has been unreachable once.
  Instant mStoreReachableSince{};
  Instant mUnreliableUntil{}; ///< After the store was restored.
};

} // namespace heatherfork::detail
