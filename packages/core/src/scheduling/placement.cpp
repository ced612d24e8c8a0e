#include "heatherfork/detail/scheduling/placement.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

constexpr int kMinTokensToLearnFrom = 8;

} // namespace

Placement::Placement(NodeId aFrom,
                     PlaceRequest aRequest,
                     ServerStatePtr aPrefill,
                     ServerStatePtr aServer,
                     int aPieces,
                     int aHintedTokens)
  : mFrom(std::move(aFrom))
  , mRequest(std::move(aRequest))
  , mPrefill(std::move(aPrefill))
  , mServer(std::move(aServer))
  , mPieces(aPieces)
  , mHintedTokens(aHintedTokens)
{
}

Placed
Placement::Reply(const ShardId& aShard, Duration aDelay, Instant aNow) const
{
  const auto isLimited = [aNow](const ServerStatePtr& aServer) {
    return aServer != nullptr && aServer->Limiter().RateAt(aNow, 1).has_value();
  };
  return Placed{ mRequest.mAttempt,
                 mPrefill == nullptr ? ServerName{} : mPrefill->Server().mName,
                 mServer->Server().mName,
                 aShard,
                 aDelay,
                 isLimited(mPrefill) || isLimited(mServer) };
}

void
Placement::Hold(Instant aNow, Duration aWork)
{
  mHeldAt = aNow;
  mServer->Hold(mPieces);
  if (mRequest.mIsSuspect) {
    mServer->HoldSuspect();
  }
  if (mPrefill != nullptr) {
    mPrefill->AddPendingStep({ mRequest.mAttempt, aNow, aWork });
  }
}

void
Placement::Release(Instant aNow)
{
  mServer->Release(mPieces);
  if (mRequest.mIsSuspect) {
    mServer->ReleaseSuspect();
  }
  if (mIsDecoding) {
    mServer->EndDecoding(aNow);
    mIsDecoding = false;
  }
  mServer->EndPendingStep(aNow, mRequest.mAttempt, false);
  if (mPrefill != nullptr) {
    mPrefill->EndPendingStep(aNow, mRequest.mAttempt, false);
  }
}

void
Placement::Learn(LearningContext aLearning, const PlacementProgress& aProgress)
{
  switch (aProgress.mStep) {
    case PlacementStep::kReserved:
      break;
    case PlacementStep::kPrefilled:
      LearnPrefill(aLearning, aProgress);
      break;
    case PlacementStep::kTransferred:
      LearnTransfer(aLearning, aProgress);
      break;
    case PlacementStep::kFirstToken:
      LearnFirstStep(aLearning, aProgress);
      break;
  }
}

// The reported duration may include queueing behind an earlier prefill; the
// locally observed one includes message delays. The smaller value is closer to
// the actual prefill time.
void
Placement::LearnPrefill(LearningContext& aLearning,
                        const PlacementProgress& aProgress)
{
  if (mPrefill == nullptr) {
    return;
  }
  const Duration elapsed =
    mPrefill->EndPendingStep(aLearning.mNow, mRequest.mAttempt, true);
  const Duration took = std::min(elapsed, aProgress.mElapsed);
  const int uncached =
    std::max(1, mRequest.mPromptTokens - aProgress.mCachedTokens);
  mPrefill->ObservedSlowness().Observe(
    aLearning.mNow, aLearning.mModel.ObservePrefill(uncached, took));
  mPrefill->RecordSuccess();
  if (mHintedTokens > 0) {
    aLearning.mHints.Learn(aProgress.mCachedTokens >= mHintedTokens / 2);
  }
  aLearning.mHints.Learn(
    aLearning.mNow, mPrefill->Server().mName, mRequest.mPrefixes);
}

void
Placement::LearnTransfer(LearningContext& aLearning,
                         const PlacementProgress& aProgress)
{
  if (mPrefill == nullptr) {
    return;
  }
  aLearning.mModel.ObserveTransfer(aLearning.mNow,
                                   mPrefill->Server().mZone,
                                   mServer->Server().mZone,
                                   mRequest.mPromptTokens,
                                   aProgress.mElapsed);
  mServer->BeginDecoding(aLearning.mNow);
  mIsDecoding = true;
  // The first decode step is tracked as a pending step, so that a hanging
  // server is detected before it replies.
  mServer->AddPendingStep({ mRequest.mAttempt,
                            aLearning.mNow,
                            aLearning.mModel.FirstStep(mServer->Decoding()) });
}

void
Placement::LearnFirstStep(LearningContext& aLearning,
                          const PlacementProgress& aProgress)
{
  mServer->EndPendingStep(aLearning.mNow, mRequest.mAttempt, true);
  mServer->ObservedSlowness().Observe(
    aLearning.mNow,
    aLearning.mModel.ObserveFirstStep(mServer->Decoding(), aProgress.mElapsed));
  mServer->RecordSuccess();
  mFirstTokenAt = aLearning.mNow;
  mBatchTimeAtFirstToken = mServer->BatchTime(aLearning.mNow);
}

void
Placement::Learn(LearningContext aLearning, const PlacementEnded& aEnded)
{
  if (aEnded.mResult != PlacementResult::kDone) {
    return;
  }
  if (!IsPlain()) {
    LearnTokens(aLearning, aEnded.mTokens);
    return;
  }
  mServer->ObservedSlowness().Observe(
    aLearning.mNow, aLearning.mModel.ObservePlainCall(aEnded.mElapsed));
  mServer->RecordSuccess();
}

void
Placement::LearnTokens(LearningContext& aLearning, int aTokens)
{
  if (aTokens < kMinTokensToLearnFrom || mFirstTokenAt == Instant{}) {
    return;
  }
  const auto took =
    static_cast<double>((aLearning.mNow - mFirstTokenAt).count());
  if (took <= 0) {
    return;
  }
  // A sample that includes a slow phase of this server would distort the shared
  // model.
  const bool isSlow =
    mServer->RememberedSlowness(aLearning.mNow, aLearning.mSettings) > 1;
  if (isSlow && !aLearning.mModel.AcceptsAll()) {
    return;
  }
  const double batch =
    (mServer->BatchTime(aLearning.mNow) - mBatchTimeAtFirstToken) / took;
  aLearning.mModel.ObserveTokens(batch, took / (aTokens - 1));
}

} // namespace heatherfork::detail
