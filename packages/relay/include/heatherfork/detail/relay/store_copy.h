#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "heatherfork/relay_wire.h"

/// A copy of what lies under one prefix of the store, without I/O.
namespace heatherfork::relay {

/// All changes after mFrom up to mAt that tell more than a sign of life.
struct StoreNews
{
  Revision mFrom = 0;
  Revision mAt = 0;
  std::vector<StoreItem> mItems;
};

/// Takes over answers of the store and news of peers, in any order.
class StoreCopy
{
public:
  using Items = std::map<std::string, StoreItem>;

  /// Whether the second value of an item tells what the first does not.
  using Differs = std::function<bool(const StoreItem&, const StoreItem&)>;

  /// What news of a peer are worth.
  enum class Taken
  {
    kOlder,   ///< Than what is held.
    kHole,    ///< Something is missing between them and what is held.
    kNothing, ///< As new as can be, without a change.
    kChanged,
  };

  explicit StoreCopy(Differs aDiffers);

  bool IsWhole() const { return mIsWhole; }
  Revision At() const { return mAt; }
  const Items& Held() const { return mItems; }

  /// The key after which the next page of a reading begins.
  const std::string& PageFrom() const { return mPageFrom; }

  /// Reads all again. What is held stays until then.
  void Restart();

  /// An answer to the call that follows from IsWhole, PageFrom and At. Returns
  /// whether the items have changed; fills aNews after a watch.
  bool TakePage(const StoreAnswer& aAnswer);
  bool TakeEvents(const StoreAnswer& aAnswer, StoreNews& aNews);

  Taken TakeNews(const StoreNews& aNews);

  /// All that a peer holds. Returns whether it was newer.
  bool TakeWhole(Revision aAt, Items aItems);

private:
  void Adopt(Revision aAt, Items aItems);
  bool Apply(const StoreItem& aItem);

  Differs mDiffers;
  bool mIsWhole = false; ///< All pages were read; the watch goes on from mAt.
  Revision mAt = 0;
  std::string mPageFrom;
  Revision mPagesAt = 0;
  Items mPages; ///< Of the reading that is under way.
  Items mItems;
};

} // namespace heatherfork::relay
