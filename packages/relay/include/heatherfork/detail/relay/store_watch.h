#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>

#include "heatherfork/detail/relay/line_log.h"
#include "heatherfork/detail/relay/skipped_entries.h"
#include "heatherfork/detail/relay/store_reader.h"
#include "heatherfork/member.h"
#include "heatherfork/peer_message.h"
#include "heatherfork/relay_event.h"
#include "heatherfork/relay_node.h"

/// Keeps routing and replicas in sync with the store, directly or through
/// other nodes.
namespace heatherfork::relay {

/// Reads routes and replicas, sends changes to the nodes that do not read the
/// store themselves, and merges the changes that other nodes send.
class StoreWatch
{
public:
  /// Callbacks into the node.
  struct Hooks
  {
    std::function<const Members&()> mMembers;
    std::function<void(const Member&, const PeerMessage&)> mSend;
    std::function<void(RelayEventBody)> mPost;
    std::function<void(const CallerLimits&)> mSetLimits;
  };

  StoreWatch(const RelayNodeSettings& aSettings,
             IoLoop& aLoop,
             const RelayWire& aWire,
             LineLog& aLog,
             Hooks aHooks);

  void OnTimer(Instant aNow);

  /// Sets whether the routes need the store's confirmation now.
  void SetNeedsConfirmation(bool aNeeds)
  {
    mRouting.SetNeedsConfirmation(aNeeds);
  }

  /// Handles a message about the store. Returns false for other messages.
  bool HandleMessage(const NodeId& aFrom, const PeerMessage& aMessage);

  const StoreReader& RoutingReader() const { return mRouting; }
  const StoreReader& ReplicaReader() const { return mReplicas; }

private:
  void OnRoutingItems(const StoreReader::Items& aItems);
  void OnReplicaItems(const StoreReader::Items& aItems);

  /// Whether an item is a replica's entry, or a deletion. Logs each other entry
  /// once.
  bool IsReplica(const StoreItem& aItem);

  void OnRoutingConfirmed(Instant aAskedAt);
  void OnRestored(const char* aName, StoreEra aEra);
  void OnReachability(const char* aName,
                      bool aIsReachable,
                      const std::string& aReason);
  void On(const NodeId& aFrom, const PublishedRequest& aAsked);
  void On(const NodeId& aFrom, const PublishedNews& aUpdate);
  void On(const NodeId& aFrom, const PublishedReply& aReply);
  void AskPeer(StoreReader& aReader);
  void ChooseReaders(Instant aNow);
  void UpdatePeers(const StoreReader& aReader, const StoreUpdate& aUpdate);
  void SendTo(const NodeId& aNode, const PeerMessage& aMessage);
  StoreReader* FindReader(const std::string& aPrefix);

  const NodeId mSelf;
  const RelayWire& mWire;
  LineLog& mLog;
  Hooks mHooks;
  std::optional<bool> mReadsForOthers; ///< Empty until the node has joined.
  Instant mNextChooseAt{};
  /// Of the routes that the copy holds; empty if they can't be read.
  std::optional<Revision> mHeldRouting;
  std::optional<Revision> mUnreadableRouting; ///< Of the store; logged last.
  StoreReader mRouting;
  StoreReader mReplicas;
  SkippedEntries mSkippedEntries;
  Instant mStartedAt;
  std::mt19937_64 mRandom;
};

} // namespace heatherfork::relay
