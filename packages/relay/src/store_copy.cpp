#include "heatherfork/detail/relay/store_copy.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace heatherfork::relay {

StoreCopy::StoreCopy(Differs aDiffers)
  : mDiffers(std::move(aDiffers))
{
}

void
StoreCopy::Restart()
{
  mIsComplete = false;
  mPageStartKey.clear();
  mPageStartKeys.clear();
  mPages.clear();
}

bool
StoreCopy::IsNewer(StoreEra aEra, Revision aAt) const
{
  return std::tie(aEra, aAt) > std::tie(mEra, mAt);
}

// Since the call was made, the store may have been restored, or a peer's copy
// may have replaced this one.
StoreCopy::AnswerFit
StoreCopy::Check(const StoreCall& aCall, const StoreAnswer& aAnswer) const
{
  const StoreEra era = aAnswer.mEra.value_or(aCall.mEra);
  if (aCall.mKind == StoreCall::Kind::kWatch) {
    const bool continues =
      era == aCall.mEra && era == mEra && aCall.mAfter <= mAt;
    return continues ? AnswerFit::kFits : AnswerFit::kRestart;
  }
  if (era < mEra) {
    return AnswerFit::kStale;
  }
  const bool isNextPage =
    aCall.mFrom == mPageStartKey && (mPageStartKey.empty() || era == mPagesEra);
  if (!isNextPage) {
    return AnswerFit::kRestart;
  }
  const bool isEndless =
    aAnswer.mHasMore &&
    (aAnswer.mLastKey.empty() || mPageStartKeys.count(aAnswer.mLastKey) > 0);
  return isEndless ? AnswerFit::kEndless : AnswerFit::kFits;
}

bool
StoreCopy::ApplyPage(const StoreAnswer& aAnswer)
{
  // Pages are no consistent snapshot. The watch starts at the first page's
  // revision, so it repeats changes made between pages.
  if (mPageStartKey.empty()) {
    mPagesEra = aAnswer.mEra.value_or(mEra);
    mPagesRevision = aAnswer.mAt;
  }
  for (const StoreItem& item : aAnswer.mItems) {
    if (!item.mIsDeleted) {
      mPages[item.mKey] = item;
    }
  }
  if (aAnswer.mHasMore) {
    mPageStartKey = aAnswer.mLastKey;
    mPageStartKeys.insert(mPageStartKey);
    return false;
  }
  Items pages;
  pages.swap(mPages);
  mPageStartKey.clear();
  mPageStartKeys.clear();
  if (mIsComplete && !IsNewer(mPagesEra, mPagesRevision)) {
    return false; // A peer's copy arrived first and is not older.
  }
  Replace(mPagesEra, mPagesRevision, std::move(pages));
  return true;
}

bool
StoreCopy::ApplySnapshot(StoreEra aEra, Revision aAt, Items aItems)
{
  if (!IsNewer(aEra, aAt)) {
    return false;
  }
  Replace(aEra, aAt, std::move(aItems));
  return true;
}

void
StoreCopy::Replace(StoreEra aEra, Revision aAt, Items aItems)
{
  Restart();
  mIsComplete = true;
  mEra = aEra;
  mAt = aAt;
  mItems = std::move(aItems);
}

bool
StoreCopy::Apply(const StoreItem& aItem)
{
  const auto it = mItems.find(aItem.mKey);
  if (aItem.mIsDeleted) {
    const bool isRemoved =
      it != mItems.end() && it->second.mRevision < aItem.mRevision;
    if (isRemoved) {
      mItems.erase(it);
    }
    return isRemoved;
  }
  if (it == mItems.end()) {
    mItems.emplace(aItem.mKey, aItem);
    return true;
  }
  if (aItem.mRevision <= it->second.mRevision) {
    return false;
  }
  const bool differs = mDiffers(it->second, aItem);
  it->second = aItem;
  return differs;
}

bool
StoreCopy::ApplyWatchAnswer(const StoreAnswer& aAnswer, StoreUpdate& aUpdate)
{
  aUpdate = StoreUpdate{ mAt, mAt, {}, mEra };
  if (aAnswer.mAt < mAt) {
    return false; // A peer's update is newer and includes later deletions.
  }
  for (const StoreItem& item : aAnswer.mItems) {
    if (Apply(item)) {
      aUpdate.mItems.push_back(item);
    }
  }
  mAt = aAnswer.mAt;
  aUpdate.mAt = mAt;
  return !aUpdate.mItems.empty();
}

StoreCopy::MergeResult
StoreCopy::ApplyUpdate(const StoreUpdate& aUpdate)
{
  if (mIsComplete &&
      std::tie(aUpdate.mEra, aUpdate.mAt) < std::tie(mEra, mAt)) {
    return MergeResult::kStale;
  }
  if (!mIsComplete || aUpdate.mEra > mEra || aUpdate.mFrom > mAt) {
    return MergeResult::kGap;
  }
  bool hasChanged = false;
  for (const StoreItem& item : aUpdate.mItems) {
    hasChanged = Apply(item) || hasChanged;
  }
  mAt = aUpdate.mAt;
  return hasChanged ? MergeResult::kChanged : MergeResult::kUnchanged;
}

} // namespace heatherfork::relay
