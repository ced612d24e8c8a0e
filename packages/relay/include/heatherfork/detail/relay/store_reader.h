#pragma once

#include <functional>
#include <memory>
#include <string>

#include "heatherfork/detail/relay/server_connection.h"
#include "heatherfork/detail/relay/store_copy.h"
#include "heatherfork/detail/relay/store_pacing.h"

/// Keeps a copy of what lies under one prefix of the store.
namespace heatherfork::relay {

/// What a reader tells its node.
struct StoreHooks
{
  /// The items as they are now, after each change.
  std::function<void(const StoreCopy::Items&)> mOnItems;

  /// Whether the store is in touch, by this node's calls or a peer's.
  std::function<void(bool, const std::string&)> mOnReach;

  /// After each watch that may be passed on to other nodes.
  std::function<void(const StoreNews&)> mOnNews;

  StoreCopy::Differs mDiffers;
};

/// Reads a prefix whole, then watches it; reads it again when its history is
/// gone. One call at a time.
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

  void OnTime(Instant aNow);

  const std::string& Prefix() const { return mPrefix; }
  const Items& Held() const { return mCopy.Held(); }
  Revision HeldAt() const { return mCopy.At(); }

  /// Since the store or a peer last said what is in force.
  Duration NewsAge() const { return SteadyNow() - mPacing.ToldAt(); }

  /// Whether this node reads for others, or others for it.
  void SetReadsForOthers(bool aReads) { mPacing.SetReadsForOthers(aReads); }

  /// Takes over all that another node has read, if it is newer.
  void TakeFromPeer(Revision aAt, Items aItems);

  /// Takes over what has changed. Returns whether all should be asked for, as
  /// something is missing before it.
  bool TakeNews(const StoreNews& aNews);

  /// Whether another node should be asked now: the store does not answer.
  bool WantsPeer(Instant aNow);

private:
  bool OnHead(const HttpHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  void OnDone() override;
  void OnFailed(const std::string& aReason, bool aSent) override;

  void Begin(Instant aNow);
  void Finish(const StoreAnswer& aAnswer);
  void Failed(const std::string& aReason);
  void NoteReached(const char* aBy);

  IoLoop& mLoop;
  const RelayWire& mWire;
  Address mStore;
  std::string mPrefix;
  StoreHooks mHooks;
  StoreCopy mCopy;
  StorePacing mPacing;

  ServerConnectionPtr mConnection;
  ServerConnectionPtr mEnded; ///< Not destroyed within its own call.
  bool mIsCalling = false;
  StoreCall mCall;
  Instant mCalledAt{};
  Instant mAskPeerAt{};
  int mStatus = 0;
  std::string mBody;
  bool mIsReached = false;
};

} // namespace heatherfork::relay
