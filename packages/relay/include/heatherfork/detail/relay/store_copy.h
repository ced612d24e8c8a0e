#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "heatherfork/relay_wire.h"

/// Local copy of the items under one prefix of the store. Does no I/O.
namespace heatherfork::relay {

/// The changes after revision mFrom up to and including mAt, without mere
/// heartbeats.
struct StoreUpdate
{
  Revision mFrom = 0;
  Revision mAt = 0;
  std::vector<StoreItem> mItems;
  StoreEra mEra = 0; ///< Of both revisions.
};

/// Merges answers of the store and updates from peers, in any order.
class StoreCopy
{
public:
  using Items = std::map<std::string, StoreItem>;

  /// Whether an item's new value differs by more than a heartbeat. The first
  /// argument is the old value.
  using Differs = std::function<bool(const StoreItem&, const StoreItem&)>;

  /// Result of merging an update from a peer.
  enum class MergeResult
  {
    kStale,     ///< Older than the local copy.
    kGap,       ///< Changes between the local copy and the update are missing.
    kUnchanged, ///< Not older than the copy, but without relevant changes.
    kChanged,
  };

  /// Whether an answer can be merged into the copy.
  enum class AnswerFit
  {
    kFits,
    kRestart, ///< The answer continues from another state than the copy's.
    kStale,   ///< Of an earlier era than the copy.
    kEndless, ///< A page with more to come that does not say after which key.
  };

  explicit StoreCopy(Differs aDiffers);

  bool IsComplete() const { return mIsComplete; }
  Revision HeldRevision() const { return mAt; }
  StoreEra HeldEra() const { return mEra; }
  const Items& HeldItems() const { return mItems; }

  /// The key after which the next page of the range read starts.
  const std::string& PageStartKey() const { return mPageStartKey; }

  /// Starts a new range read. The current items stay until it is complete.
  void Restart();

  AnswerFit Check(const StoreCall& aCall, const StoreAnswer& aAnswer) const;

  /// Merges the answer to a range or watch call that continues from the current
  /// state. Returns whether the items have changed. The watch variant sets
  /// aUpdate to the changes.
  bool ApplyPage(const StoreAnswer& aAnswer);
  bool ApplyWatchAnswer(const StoreAnswer& aAnswer, StoreUpdate& aUpdate);

  MergeResult ApplyUpdate(const StoreUpdate& aUpdate);

  /// Replaces the items by a peer's copy if that is newer. Returns whether it
  /// was.
  bool ApplySnapshot(StoreEra aEra, Revision aAt, Items aItems);

private:
  bool IsNewer(StoreEra aEra, Revision aAt) const;
  void Replace(StoreEra aEra, Revision aAt, Items aItems);
  bool Apply(const StoreItem& aItem);

  Differs mDiffers;
  bool mIsComplete = false; ///< All pages are read; a watch can start at mAt.
  StoreEra mEra = 0;
  Revision mAt = 0;
  std::string mPageStartKey;
  std::set<std::string> mPageStartKeys; ///< Of the range read in progress.
  StoreEra mPagesEra = 0;
  Revision mPagesRevision = 0;
  Items mPages; ///< Pages of the range read in progress.
  Items mItems;
};

} // namespace heatherfork::relay
