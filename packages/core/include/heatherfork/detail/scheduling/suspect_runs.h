#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "heatherfork/peer_message.h"

/// Runs of content that was running at a crash.
namespace heatherfork::detail {

/// Lets requests with equal content run one after the other once one of them
/// was placed as a suspect, until one is answered.
class SuspectRuns
{
public:
  void OnAsked(const PlaceRequest& aPlace, Instant aNow);
  void OnPlaced(const PlaceRequest& aPlace);
  void OnReleased(const PlaceRequest& aPlace);
  void OnEnded(const PlaceRequest& aPlace,
               PlacementResult aResult,
               Instant aNow);

  /// Whether the request must wait for the end of another run.
  bool MustWait(const PlaceRequest& aPlace, Instant aNow) const;
  void Expire(Instant aNow);

private:
  struct Suspect
  {
    Instant mSeenAt{};
    Instant mPausedUntil{};
  };

  std::map<std::uint64_t, Suspect> mSuspects;
  std::unordered_map<std::uint64_t, int> mRunning; ///< Of all content.
};

} // namespace heatherfork::detail
