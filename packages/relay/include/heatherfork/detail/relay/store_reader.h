#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "heatherfork/detail/relay/server_connection.h"
#include "heatherfork/relay_wire.h"

/// Keeps a copy of what lies under one prefix of the store.
namespace heatherfork::relay {

/// How often the store is asked.
struct StorePace
{
  Duration mPause{};                   ///< Between an answer and the next call.
  Duration mWait{};                    ///< Of a watch, for news.
  Duration mTimeout{};                 ///< Beyond what a call may wait.
  Duration mRetry = Milliseconds(250); ///< After a failure; doubles.
  Duration mMostRetry = Milliseconds(1500);
};

/// Reads a prefix whole, then watches it; reads it again when its history is
/// gone. One call at a time.
class StoreReader final : private ExchangeListener
{
public:
  using Items = std::map<std::string, StoreItem>;

  /// aOnItems: the items as they are now, after each change.
  /// aOnReach: whether the store answers, after each change of that.
  StoreReader(IoLoop& aLoop,
              const RelayWire& aWire,
              Address aStore,
              std::string aPrefix,
              StorePace aPace,
              std::function<void(const Items&)> aOnItems,
              std::function<void(bool, const std::string&)> aOnReach);
  ~StoreReader() override;

  void OnTime(Instant aNow);

  const std::string& Prefix() const { return mPrefix; }
  const Items& Held() const { return mItems; }
  Revision HeldAt() const { return mAt; }

  /// Takes over what another node has read, if it is newer.
  void TakeFromPeer(Revision aAt, Items aItems);

  /// Whether another node should be asked now: the store does not answer.
  bool WantsPeer(Instant aNow);

private:
  bool OnHead(const HttpHead& aHead) override;
  void OnBody(std::string_view aBytes) override;
  void OnDone() override;
  void OnFailed(const std::string& aReason, bool aSent) override;

  void Begin(Instant aNow);
  void Finish(const StoreAnswer& aAnswer);
  void TakePage(const StoreAnswer& aAnswer);
  void TakeEvents(const StoreAnswer& aAnswer);
  void Failed(const std::string& aReason);

  IoLoop& mLoop;
  const RelayWire& mWire;
  Address mStore;
  std::string mPrefix;
  StorePace mPace;
  std::function<void(const Items&)> mOnItems;
  std::function<void(bool, const std::string&)> mOnReach;
  std::mt19937_64 mRandom;

  ServerConnectionPtr mConnection;
  ServerConnectionPtr mEnded; ///< Not destroyed within its own call.
  bool mIsCalling = false;
  StoreCall mCall;
  Instant mCalledAt{};
  Instant mNextAt{};
  Instant mAskPeerAt{};
  int mStatus = 0;
  std::string mBody;
  int mFailures = 0;
  bool mIsReached = false;
  bool mIsWhole = false; ///< All pages were read; the watch goes on from mAt.
  Revision mAt = 0;
  std::string mPageFrom;
  Items mPages; ///< Of the reading that is under way.
  Items mItems;
};

} // namespace heatherfork::relay
