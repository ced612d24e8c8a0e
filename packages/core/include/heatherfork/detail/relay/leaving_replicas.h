#pragma once

#include <map>

#include "heatherfork/peer_message.h"
#include "heatherfork/routing.h"

/// Marks of leaving replicas.
namespace heatherfork::detail {

/// An incarnation of a replica that is leaving never becomes ready again, even
/// if an older entry of it reappears.
class LeavingReplicas
{
public:
  /// Returns whether the mark is new.
  bool Add(Instant aNow, const LeavingServer& aServer);
  bool Contains(const Replica& aReplica) const;

  /// Adds the replicas whose entries say that they are leaving.
  void OnPublished(Instant aNow, const Replicas& aPublished);

private:
  struct Mark
  {
    std::int64_t mStartedAt = 0;
    Instant mAddedAt{};
  };

  std::map<ServerName, Mark> mMarks;
};

} // namespace heatherfork::detail
