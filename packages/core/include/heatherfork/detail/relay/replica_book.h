#pragma once

#include <map>
#include <optional>

#include "heatherfork/routing.h"

/// Which replicas count, where publication was away for a while.
namespace heatherfork::detail {

/// Entries lapse while the store is away, though their replicas live; they are
/// back soon after it. One that vanishes around such a time is held for as long
/// as that takes.
class ReplicaBook
{
public:
  void OnReach(Instant aNow, bool aIsReached);

  /// What is published now.
  void OnPublished(Instant aNow, Replicas aPublished);

  /// Drops what was held for long enough; true when that changed anything.
  bool Expire(Instant aNow);

  /// Those in force, ordered by name.
  const Replicas& InForce() const { return mInForce; }

private:
  bool IsUnsure(Instant aNow) const;
  void Rebuild();

  Replicas mPublished;
  std::map<ServerName, Replica> mHeld;
  Replicas mInForce;
  bool mIsReached = false;
  bool mWasLost = false; ///< The store was away at some time.
  Instant mReachedAt{};
};

} // namespace heatherfork::detail
