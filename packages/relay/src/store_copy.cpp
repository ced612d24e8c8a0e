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
  mIsWhole = false;
  mPageFrom.clear();
  mPages.clear();
}

bool
StoreCopy::TakePage(const StoreAnswer& aAnswer)
{
  // Pages are no snapshot: the watch goes on from the first page's revision,
  // and what changed between the pages comes again.
  if (mPageFrom.empty()) {
    mPagesAt = aAnswer.mAt;
  }
  for (const StoreItem& item : aAnswer.mItems) {
    mPages[item.mKey] = item;
    mPageFrom = item.mKey;
  }
  if (aAnswer.mHasMore && !aAnswer.mItems.empty()) {
    return false;
  }
  Items pages;
  pages.swap(mPages);
  mPageFrom.clear();
  if (mIsWhole && mPagesAt <= mAt) {
    return false; // A peer was quicker.
  }
  Adopt(mPagesAt, std::move(pages));
  return true;
}

bool
StoreCopy::TakeWhole(Revision aAt, Items aItems)
{
  if (aAt <= mAt) {
    return false;
  }
  Adopt(aAt, std::move(aItems));
  return true;
}

void
StoreCopy::Adopt(Revision aAt, Items aItems)
{
  Restart();
  mIsWhole = true;
  mAt = aAt;
  mItems = std::move(aItems);
}

bool
StoreCopy::Apply(const StoreItem& aItem)
{
  const auto it = mItems.find(aItem.mKey);
  if (aItem.mIsDeleted) {
    const bool isHeld =
      it != mItems.end() && it->second.mRevision < aItem.mRevision;
    if (isHeld) {
      mItems.erase(it);
    }
    return isHeld;
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
StoreCopy::TakeEvents(const StoreAnswer& aAnswer, StoreNews& aNews)
{
  aNews = StoreNews{ mAt, mAt, {} };
  if (aAnswer.mAt < mAt) {
    return false; // News of a peer were quicker, and know what ended since.
  }
  for (const StoreItem& item : aAnswer.mItems) {
    if (Apply(item)) {
      aNews.mItems.push_back(item);
    }
  }
  mAt = aAnswer.mAt;
  aNews.mAt = mAt;
  return !aNews.mItems.empty();
}

StoreCopy::Taken
StoreCopy::TakeNews(const StoreNews& aNews)
{
  if (mIsWhole && aNews.mAt < mAt) {
    return Taken::kOlder;
  }
  if (!mIsWhole || aNews.mFrom > mAt) {
    return Taken::kHole;
  }
  bool hasChanged = false;
  for (const StoreItem& item : aNews.mItems) {
    hasChanged = Apply(item) || hasChanged;
  }
  mAt = aNews.mAt;
  return hasChanged ? Taken::kChanged : Taken::kNothing;
}

} // namespace heatherfork::relay
