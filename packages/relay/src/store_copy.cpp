#include "heatherfork/detail/relay/store_copy.h"

#include <algorithm>
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
  mPages.clear();
}

bool
StoreCopy::ApplyPage(const StoreAnswer& aAnswer)
{
  // Pages are no consistent snapshot. The watch starts at the first page's
  // revision, so it repeats changes made between pages.
  if (mPageStartKey.empty()) {
    mPagesRevision = aAnswer.mAt;
  }
  for (const StoreItem& item : aAnswer.mItems) {
    mPages[item.mKey] = item;
    mPageStartKey = item.mKey;
  }
  if (aAnswer.mHasMore && !aAnswer.mItems.empty()) {
    return false;
  }
  Items pages;
  pages.swap(mPages);
  mPageStartKey.clear();
  if (mIsComplete && mPagesRevision <= mAt) {
    return false; // A peer's copy arrived first and is not older.
  }
  Replace(mPagesRevision, std::move(pages));
  return true;
}

bool
StoreCopy::ApplySnapshot(Revision aAt, Items aItems)
{
  if (aAt <= mAt) {
    return false;
  }
  Replace(aAt, std::move(aItems));
  return true;
}

void
StoreCopy::Replace(Revision aAt, Items aItems)
{
  Restart();
  mIsComplete = true;
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
  aUpdate = StoreUpdate{ mAt, mAt, {} };
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
  if (mIsComplete && aUpdate.mAt < mAt) {
    return MergeResult::kStale;
  }
  if (!mIsComplete || aUpdate.mFrom > mAt) {
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
