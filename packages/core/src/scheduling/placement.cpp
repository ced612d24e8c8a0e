#include "heatherfork/detail/scheduling/placement.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

constexpr int kFewestTokensToLearnFrom = 8;

} // namespace

Placement::Placement(NodeId aFrom,
                     PlaceRequest aPlace,
                     ServerStatePtr aPrefill,
                     ServerStatePtr aServer,
                     int aPieces,
                     int aHintedTokens)
  : mFrom(std::move(aFrom))
  , mPlace(std::move(aPlace))
  , mPrefill(std::move(aPrefill))
  , mServer(std::move(aServer))
  , mPieces(aPieces)
  , mHintedTokens(aHintedTokens)
{
}

Placed
Placement::Reply(const ShardId& aShard, Duration aDelay) const
{
  return Placed{ mPlace.mAttempt,
                 mPrefill == nullptr ? ServerName{} : mPrefill->Server().mName,
                 mServer->Server().mName,
                 aShard,
                 aDelay };
}

void
Placement::Hold(Instant aNow, Duration aWork)
{
  mHeldAt = aNow;
  mServer->Hold(mPieces);
  if (mPrefill != nullptr) {
    mPrefill->AddTurn({ mPlace.mAttempt, aNow, aWork });
  }
}

void
Placement::Release(Instant aNow)
{
  mServer->Release(mPieces);
  if (mIsDecoding) {
    mServer->EndDecoding(aNow);
    mIsDecoding = false;
  }
  mServer->EndTurn(aNow, mPlace.mAttempt, false);
  if (mPrefill != nullptr) {
    mPrefill->EndTurn(aNow, mPlace.mAttempt, false);
  }
}

void
Placement::Learn(Lessons aLessons, const PlacementProgress& aProgress)
{
  switch (aProgress.mStep) {
    case PlacementStep::kReserved:
      break;
    case PlacementStep::kPrefilled:
      LearnPrefill(aLessons, aProgress);
      break;
    case PlacementStep::kTransferred:
      LearnTransfer(aLessons, aProgress);
      break;
    case PlacementStep::kFirstToken:
      LearnFirstStep(aLessons, aProgress);
      break;
  }
}

// The reported time may include a wait behind an earlier turn, the time in
// line the way of the messages: the shorter one is nearer to the truth.
void
Placement::LearnPrefill(Lessons& aLessons, const PlacementProgress& aProgress)
{
  if (mPrefill == nullptr) {
    return;
  }
  const Duration inLine =
    mPrefill->EndTurn(aLessons.mNow, mPlace.mAttempt, true);
  const Duration took = std::min(inLine, aProgress.mTook);
  const int uncached =
    std::max(1, mPlace.mPromptTokens - aProgress.mCachedTokens);
  mPrefill->Speed().Observe(aLessons.mNow,
                            aLessons.mModel.ObservePrefill(uncached, took));
  mPrefill->NoteSuccess();
  if (mHintedTokens > 0) {
    aLessons.mHints.Learn(aProgress.mCachedTokens >= mHintedTokens / 2);
  }
  aLessons.mHints.Learn(
    aLessons.mNow, mPrefill->Server().mName, mPlace.mPrefixes);
}

void
Placement::LearnTransfer(Lessons& aLessons, const PlacementProgress& aProgress)
{
  if (mPrefill == nullptr) {
    return;
  }
  aLessons.mModel.ObserveTransfer(aLessons.mNow,
                                  mPrefill->Server().mZone,
                                  mServer->Server().mZone,
                                  mPlace.mPromptTokens,
                                  aProgress.mTook);
  mServer->BeginDecoding(aLessons.mNow);
  mIsDecoding = true;
  // The first step is watched like a turn, so that a server that hangs is
  // seen before it answers.
  mServer->AddTurn({ mPlace.mAttempt,
                     aLessons.mNow,
                     aLessons.mModel.FirstStep(mServer->Decoding()) });
}

void
Placement::LearnFirstStep(Lessons& aLessons, const PlacementProgress& aProgress)
{
  mServer->EndTurn(aLessons.mNow, mPlace.mAttempt, true);
  mServer->Speed().Observe(
    aLessons.mNow,
    aLessons.mModel.ObserveFirstStep(mServer->Decoding(), aProgress.mTook));
  mServer->NoteSuccess();
  mFirstTokenAt = aLessons.mNow;
  mBatchTimeAtFirst = mServer->BatchTime(aLessons.mNow);
}

void
Placement::Learn(Lessons aLessons, const PlacementEnded& aEnded)
{
  if (aEnded.mResult != PlacementResult::kDone) {
    return;
  }
  if (!IsPlain()) {
    LearnTokens(aLessons, aEnded.mTokens);
    return;
  }
  mServer->Speed().Observe(aLessons.mNow,
                           aLessons.mModel.ObservePlainCall(aEnded.mTook));
  mServer->NoteSuccess();
}

void
Placement::LearnTokens(Lessons& aLessons, int aTokens)
{
  if (aTokens < kFewestTokensToLearnFrom || mFirstTokenAt == Instant{}) {
    return;
  }
  const auto took =
    static_cast<double>((aLessons.mNow - mFirstTokenAt).count());
  if (took <= 0) {
    return;
  }
  // A server that was slow in between would flatten the line for all others.
  const bool isSlow =
    mServer->SlownessRemembered(aLessons.mNow, aLessons.mSettings) > 1;
  if (isSlow && !aLessons.mModel.AcceptsAll()) {
    return;
  }
  const double batch =
    (mServer->BatchTime(aLessons.mNow) - mBatchTimeAtFirst) / took;
  aLessons.mModel.ObserveTokens(batch, took / (aTokens - 1));
}

} // namespace heatherfork::detail
