#pragma once

#include "heatherfork/detail/scheduling/prefix_hints.h"
#include "heatherfork/detail/scheduling/server_state.h"
#include "heatherfork/detail/scheduling/time_model.h"
#include "heatherfork/peer_message.h"

/// An attempt that got a place, and what its steps teach.
namespace heatherfork::detail {

/// What a shard learns from.
struct Lessons
{
  TimeModel& mModel;
  PrefixHints& mHints;
  const SchedulingSettings& mSettings;
  Instant mNow{};
};

/// The servers held for one attempt.
class Placement
{
public:
  Placement(NodeId aFrom,
            PlaceRequest aPlace,
            ServerStatePtr aPrefill,
            ServerStatePtr aServer,
            int aPieces,
            int aHintedTokens);

  const NodeId& From() const { return mFrom; }
  const PlaceRequest& Place() const { return mPlace; }
  Placed Reply(const ShardId& aShard, Duration aDelay) const;

  Instant HeldAt() const { return mHeldAt; }

  /// Takes slot, pieces and turn.
  void Hold(Instant aNow, Duration aWork);

  /// Frees what is still held.
  void Release(Instant aNow);

  void Learn(Lessons aLessons, const PlacementProgress& aProgress);
  void Learn(Lessons aLessons, const PlacementEnded& aEnded);

private:
  void LearnPrefill(Lessons& aLessons, const PlacementProgress& aProgress);
  void LearnTransfer(Lessons& aLessons, const PlacementProgress& aProgress);
  void LearnFirstStep(Lessons& aLessons, const PlacementProgress& aProgress);
  void LearnTokens(Lessons& aLessons, int aTokens);
  bool IsPlain() const { return mPlace.mKind == RequestKind::kPlainCall; }

  NodeId mFrom;
  PlaceRequest mPlace;
  ServerStatePtr mPrefill; ///< Null for a plain call.
  ServerStatePtr mServer;
  int mPieces = 0;
  int mHintedTokens = 0;
  Instant mHeldAt{};
  Instant mFirstTokenAt{};
  double mBatchTimeAtFirst = 0;
  bool mIsDecoding = false;
};

} // namespace heatherfork::detail
