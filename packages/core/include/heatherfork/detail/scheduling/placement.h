#pragma once

#include "heatherfork/detail/scheduling/prefix_hints.h"
#include "heatherfork/detail/scheduling/server_state.h"
#include "heatherfork/detail/scheduling/time_model.h"
#include "heatherfork/peer_message.h"

/// A placed attempt and the measurements taken from its progress.
namespace heatherfork::detail {

/// The models that a placement updates, and the time of the update.
struct LearningContext
{
  TimeModel& mModel;
  PrefixHints& mHints;
  const SchedulingSettings& mSettings;
  Instant mNow{};
};

/// The capacity held for one attempt.
class Placement
{
public:
  Placement(NodeId aFrom,
            PlaceRequest aRequest,
            ServerStatePtr aPrefill,
            ServerStatePtr aServer,
            int aPieces,
            int aHintedTokens);

  const NodeId& From() const { return mFrom; }
  const PlaceRequest& Request() const { return mRequest; }
  Placed Reply(const ShardId& aShard, Duration aDelay, Instant aNow) const;

  Instant HeldAt() const { return mHeldAt; }
  int Pieces() const { return mPieces; }

  /// Reserves a slot, KV-cache pieces and a place in the prefill queue.
  void Hold(Instant aNow, Duration aWork);

  /// Releases all capacity that is still held.
  void Release(Instant aNow);

  void Learn(LearningContext aLearning, const PlacementProgress& aProgress);
  void Learn(LearningContext aLearning, const PlacementEnded& aEnded);

private:
  void LearnPrefill(LearningContext& aLearning,
                    const PlacementProgress& aProgress);
  void LearnTransfer(LearningContext& aLearning,
                     const PlacementProgress& aProgress);
  void LearnFirstStep(LearningContext& aLearning,
                      const PlacementProgress& aProgress);
  void LearnTokens(LearningContext& aLearning, int aTokens);
  bool IsPlain() const { return mRequest.mKind == RequestKind::kPlainCall; }

  NodeId mFrom;
  PlaceRequest mRequest;
  ServerStatePtr mPrefill; ///< Null for a plain call.
  ServerStatePtr mServer;
  int mPieces = 0;
  int mHintedTokens = 0;
  Instant mHeldAt{};
  Instant mFirstTokenAt{};
  double mBatchTimeAtFirstToken = 0;
  bool mIsDecoding = false;
};

} // namespace heatherfork::detail
