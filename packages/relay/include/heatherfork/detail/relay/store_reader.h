#pragma once

#include <functional>
#include <memory>
#include <string>

#include "heatherfork/detail/relay/server_connection.h"
#include "heatherfork/detail/relay/store_copy.h"
#include "heatherfork/detail/relay/store_pacing.h"

/// Keeps a local copy of one prefix of the store up to date.
namespace heatherfork::relay {

/// Callbacks of a reader.
struct StoreHooks
{
  /// Called for each item read, or received from a peer. Returns whether it is
  /// of use: others are neither held nor sent to peers, whatever their number
  /// and size.
  std::function<bool(const StoreItem&)> mIsUseful;

  /// Called after each change with all current items.
  std::function<void(const StoreCopy::Items&)> mOnItems;

  /// Called when the store becomes reachable, directly or through a peer, or
  /// unreachable. The text is the reason.
  std::function<void(bool, const std::string&)> mOnReachability;

  /// Called after each watch whose changes may be sent to other nodes.
  std::function<void(const StoreUpdate&)> mOnUpdate;

  /// Called before mOnItems if the items are of a later era than the last ones.
  std::function<void(StoreEra)> mOnRestored;

  StoreCopy::Differs mDiffers;

  /// Called when the store has confirmed that the items last published were
  /// complete at some time after the given one.
  std::function<void(Instant)> mOnConfirmed;
};

/// Reads all items under a prefix, then watches for changes. Reads all again if
/// the store has discarded the watch's revision. One call at a time.
class StoreReader final : private ExchangeListener
{
public:
  using Items = StoreCopy::Items;

  StoreReader(IoLoop& aLoop,
              const RelayWire& aWire,
              Address aStore,
              std::string aPrefix,
              StorePace aPace,
              StoreHooks aHooks);
  ~StoreReader() override;

  void OnTimer(Instant aNow);

  const std::string& Prefix() const { return mPrefix; }
  const Items& HeldItems() const { return mCopy.HeldItems(); }
  Revision HeldRevision() const { return mCopy.HeldRevision(); }
  StoreEra HeldEra() const { return mCopy.HeldEra(); }

  /// Time since the last answer of the store or update from a peer.
  Duration UpdateAge() const { return SteadyNow() - mPacing.LastUpdateAt(); }

  /// Sets whether this node reads the store for other nodes, or they for it.
  void SetReadsForOthers(bool aReads) { mPacing.SetReadsForOthers(aReads); }

  /// Sets whether to call the store although other nodes send updates.
  void SetNeedsConfirmation(bool aNeeds)
  {
    mPacing.SetNeedsConfirmation(aNeeds);
  }

  /// Replaces the copy by another node's copy if that is newer.
  void ApplyPeerSnapshot(StoreEra aEra, Revision aAt, Items aItems);

  /// Merges changes from another node. Returns true if earlier changes are
  /// missing and a full copy should be requested.
  bool ApplyUpdate(StoreUpdate aUpdate);

  /// Whether to request another node's copy now because the store does not
  /// answer.
  bool ShouldAskPeer(Instant aNow);

private:
  bool OnHead(const HttpHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  void OnDone() override;
  void OnFailed(const CallFailure& aFailure) override;

  void Begin(Instant aNow);
  void HandleAnswer(StoreAnswer aAnswer);
  void HandleFailure(const std::string& aReason);
  void MarkReachable(const char* aSource);

  /// Starts a new range read. The call that shows the need for it has not
  /// failed.
  void ReadAgain();

  /// Turns items of no use into deletions.
  void DropUseless(std::vector<StoreItem>& aItems) const;

  void PublishItems();
  void Confirm(Instant aAskedAt);

  /// Sends the update to peers, unless it has no items and the last one is
  /// recent; a later one covers it then.
  void UpdatePeers(StoreUpdate aUpdate, Instant aNow);

  IoLoop& mLoop;
  const RelayWire& mWire;
  Address mStore;
  std::string mPrefix;
  StoreHooks mHooks;
  StoreCopy mCopy;
  StorePacing mPacing;
  std::optional<StoreEra> mPublishedEra; ///< Of the items published last.

  ServerConnectionPtr mConnection;
  ServerConnectionPtr mRetiredConnection; ///< Destroyed after its callback.
  bool mIsCalling = false;
  StoreCall mCall;
  Instant mCallStartedAt{};
  Instant mRangeStartedAt{};                ///< Of the first page's call.
  std::optional<StoreUpdate> mUnsentUpdate; ///< Without items.
  Instant mUpdateSentAt{};
  Instant mNextAskPeerAt{};
  HttpHead mHead; ///< Of the answer.
  std::string mBody;
  bool mIsReachable = false;
};

} // namespace heatherfork::relay
