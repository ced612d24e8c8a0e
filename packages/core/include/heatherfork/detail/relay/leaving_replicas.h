#pragma once

#include <map>

#include "heatherfork/peer_message.h"
#include "heatherfork/routing.h"

/// Remembers which replicas are leaving.
namespace heatherfork::detail {

/// An incarnation of a replica that has said that it leaves does not take work
/// again, whatever an older entry of it says.
class LeavingReplicas
{
public:
  /// Returns whether it was not known.
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
