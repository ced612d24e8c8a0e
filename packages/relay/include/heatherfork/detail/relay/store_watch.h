#pragma once

#include <functional>
#include <random>
#include <string>

#include "heatherfork/detail/relay/line_log.h"
#include "heatherfork/detail/relay/store_reader.h"
#include "heatherfork/member.h"
#include "heatherfork/peer_message.h"
#include "heatherfork/relay_event.h"
#include "heatherfork/relay_node.h"

/// What a node knows of the store, by its own calls and by other nodes.
namespace heatherfork::relay {

/// Reads routes and replicas, tells other nodes what they need not read, and
/// takes over what they tell.
class StoreWatch
{
public:
  /// What the watch needs of its node.
  struct Node
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
             Node aNode);

  void OnTime(Instant aNow);

  /// Returns false for a message of another kind.
  bool Take(const NodeId& aFrom, const PeerMessage& aMessage);

  const StoreReader& RoutingReader() const { return mRouting; }
  const StoreReader& ReplicaReader() const { return mReplicas; }

private:
  void OnRoutingItems(const StoreReader::Items& aItems);
  void OnReplicaItems(const StoreReader::Items& aItems);
  void OnReach(const char* aWhat, bool aReached, const std::string& aReason);
  void On(const NodeId& aFrom, const PublishedRequest& aAsked);
  void On(const NodeId& aFrom, const PublishedNews& aNews);
  void On(const NodeId& aFrom, const PublishedReply& aTold);
  void AskPeer(StoreReader& aReader);
  void ChooseReaders(Instant aNow);
  void TellOthers(const StoreReader& aReader, const StoreNews& aNews);
  void SendTo(const NodeId& aNode, const PeerMessage& aMessage);
  StoreReader* ReaderOf(const std::string& aPrefix);

  const NodeId mSelf;
  const RelayWire& mWire;
  LineLog& mLog;
  Node mNode;
  bool mReadsForOthers = true;
  Instant mChooseAt{};
  StoreReader mRouting;
  StoreReader mReplicas;
  std::mt19937_64 mRandom;
};

} // namespace heatherfork::relay
