#include "heatherfork/detail/relay/store_watch.h"

#include <algorithm>

#include <absl/strings/escaping.h>

#include "heatherfork/store_readers.h"

namespace heatherfork::relay {

namespace {

// Membership rarely changes, and the loss of a reader is detected before this
// check.
constexpr Duration kChooseReadersInterval = Milliseconds(100);

// A node that starts knows no other, so it would take itself for a reader and
// watch the store, as would all nodes of a fleet that starts.
constexpr Duration kJoinTime = Milliseconds(1000);

// Returns the pace that keeps the data younger than aMaxAge, also when a
// connection goes silent: wait, timeout and pause together stay below aMaxAge.
// Nodes that do not read for others get an update in each watch period. Without
// one, they call the store early enough that one call may time out.
StorePace
PaceForMaxAge(Duration aMaxAge, Duration aPause)
{
  const Duration period = aMaxAge * 3 / 8;
  StorePace pace;
  pace.mPause = aPause;
  pace.mWait = period - aPause;
  pace.mTimeout = aMaxAge * 2 / 5;
  pace.mPeerUpdateLifetime = aMaxAge / 2;
  return pace;
}

// Other writers may make any number of entries.
constexpr std::size_t kMaxSkippedEntries = 10000;

// A proof of current keys counts from the question, so its age at the reader
// reaches twice the wait of a watch.
constexpr int kKeyWaitPart = 16;

StorePace
PaceForRouting(const RelaySettings& aSettings)
{
  StorePace pace = PaceForMaxAge(aSettings.mMaxRoutingDelay, Duration{});
  if (aSettings.mMaxKeyDelay > Duration{}) {
    pace.mPeerUpdateInterval = pace.mWait;
    pace.mWait = std::min(pace.mWait, aSettings.mMaxKeyDelay / kKeyWaitPart);
  }
  return pace;
}

// Requests a copy that is newer than the reader's.
PublishedRequest
RequestFor(const StoreReader& aReader)
{
  return { aReader.Prefix(), aReader.HeldRevision(), aReader.HeldEra() };
}

} // namespace

StoreWatch::StoreWatch(const RelayNodeSettings& aSettings,
                       IoLoop& aLoop,
                       const RelayWire& aWire,
                       LineLog& aLog,
                       Hooks aHooks)
  : mSelf(aSettings.mNode.mSelf)
  , mWire(aWire)
  , mLog(aLog)
  , mHooks(std::move(aHooks))
  , mRouting(
      aLoop,
      mWire,
      aSettings.mStoreAddress,
      mWire.RoutingKey(),
      PaceForRouting(aSettings.mRelay),
      StoreHooks{
        // Other keys may begin with the routing's.
        [this](const StoreItem& aItem) {
          return aItem.mKey == mWire.RoutingKey();
        },
        [this](const StoreReader::Items& aItems) { OnRoutingItems(aItems); },
        [this](bool aIsReachable, const std::string& aReason) {
          OnReachability("routing", aIsReachable, aReason);
        },
        [this](const StoreUpdate& aUpdate) { UpdatePeers(mRouting, aUpdate); },
        [this](StoreEra aEra) { OnRestored("routing", aEra); },
        [](const StoreItem& aOld, const StoreItem& aNew) {
          return aOld.mValue != aNew.mValue;
        },
        [this](Instant aAskedAt) { OnRoutingConfirmed(aAskedAt); } })
  , mReplicas(
      aLoop,
      mWire,
      aSettings.mStoreAddress,
      mWire.ReplicasPrefix(),
      PaceForMaxAge(aSettings.mRelay.mMaxLeavingDelay,
                    aSettings.mRelay.mMaxLeavingDelay / 8),
      StoreHooks{
        [this](const StoreItem& aItem) { return IsReplica(aItem); },
        [this](const StoreReader::Items& aItems) { OnReplicaItems(aItems); },
        [this](bool aIsReachable, const std::string& aReason) {
          OnReachability("replicas", aIsReachable, aReason);
          mHooks.mPost(StoreReachabilityChanged{ aIsReachable });
        },
        [this](const StoreUpdate& aUpdate) { UpdatePeers(mReplicas, aUpdate); },
        [this](StoreEra aEra) {
          OnRestored("replicas", aEra);
          mHooks.mPost(StoreRestored{});
        },
        [this](const StoreItem& aOld, const StoreItem& aNew) {
          // Replicas rewrite their items as heartbeats.
          std::string reason;
          return mWire.ReadReplica(aOld.mKey, aOld.mValue, reason) !=
                 mWire.ReadReplica(aNew.mKey, aNew.mValue, reason);
        },
        {} })
  , mSkippedEntries(kMaxSkippedEntries)
  , mStartedAt(SteadyNow())
  , mRandom(aSettings.mNode.mSeed)
{
}

void
StoreWatch::OnTimer(Instant aNow)
{
  ChooseReaders(aNow);
  for (StoreReader* reader : { &mRouting, &mReplicas }) {
    reader->OnTimer(aNow);
    if (reader->ShouldAskPeer(aNow)) {
      AskPeer(*reader);
    }
  }
}

void
StoreWatch::OnRoutingItems(const StoreReader::Items& aItems)
{
  mHeldRouting.reset();
  const auto it = aItems.find(mWire.RoutingKey());
  if (it == aItems.end()) {
    return;
  }
  std::string reason;
  const RoutingPtr routing = mWire.ReadRouting(it->second.mValue, reason);
  if (routing == nullptr) {
    if (mUnreadableRouting != it->second.mRevision) {
      mUnreadableRouting = it->second.mRevision;
      mLog.Add(LogLevel::kWarning, "routing-unreadable", "", reason);
    }
    return;
  }
  mHeldRouting = routing->mRevision;
  mHooks.mSetLimits(routing->mLimits);
  mHooks.mPost(RoutingRead{ routing });
}

void
StoreWatch::OnRoutingConfirmed(Instant aAskedAt)
{
  if (mHeldRouting) {
    mHooks.mPost(RoutesConfirmed{ *mHeldRouting, aAskedAt });
  }
}

void
StoreWatch::OnReplicaItems(const StoreReader::Items& aItems)
{
  Replicas replicas;
  for (const auto& [key, item] : aItems) {
    std::string reason;
    if (auto replica = mWire.ReadReplica(key, item.mValue, reason)) {
      replicas.push_back(std::move(*replica));
    }
  }
  std::sort(replicas.begin(), replicas.end());
  mHooks.mPost(ReplicasRead{ std::move(replicas) });
}

bool
StoreWatch::IsReplica(const StoreItem& aItem)
{
  std::string reason;
  if (aItem.mIsDeleted || mWire.ReadReplica(aItem.mKey, aItem.mValue, reason)) {
    mSkippedEntries.Remove(aItem.mKey);
    return true;
  }
  if (mSkippedEntries.Add(aItem.mKey)) {
    mLog.Add(LogLevel::kWarning,
             "replica-unreadable",
             "",
             "key=\"" + absl::CHexEscape(aItem.mKey) + "\" reason=\"" +
               absl::CHexEscape(reason) + "\"");
  }
  return false;
}

// Asks a random live node. Half of the nodes may get no answer from the store
// either, so the next attempt picks again.
void
StoreWatch::AskPeer(StoreReader& aReader)
{
  std::vector<const Member*> others;
  for (const Member& member : mHooks.mMembers()) {
    if (member.mStatus == MemberStatus::kAlive && member.mNode != mSelf) {
      others.push_back(&member);
    }
  }
  if (others.empty()) {
    return;
  }
  const Member& peer = *others[mRandom() % others.size()];
  mHooks.mSend(peer, RequestFor(aReader));
}

void
StoreWatch::ChooseReaders(Instant aNow)
{
  if (aNow < mNextChooseAt) {
    return;
  }
  mNextChooseAt = aNow + kChooseReadersInterval;
  const bool hasJoined = aNow - mStartedAt >= kJoinTime;
  const bool readsForOthers =
    hasJoined && IsStoreReader(mHooks.mMembers(), mSelf);
  if (hasJoined && readsForOthers != mReadsForOthers) {
    mReadsForOthers = readsForOthers;
    mLog.Add(LogLevel::kInfo,
             "store-reader",
             "",
             std::string("reads_for_others=") +
               (readsForOthers ? "yes" : "no"));
  }
  mRouting.SetReadsForOthers(readsForOthers);
  mReplicas.SetReadsForOthers(readsForOthers);
}

// Sends an update even if nothing changed, so that peers need not call the
// store.
void
StoreWatch::UpdatePeers(const StoreReader& aReader, const StoreUpdate& aUpdate)
{
  PublishedNews update{
    aReader.Prefix(), aUpdate.mFrom, aUpdate.mAt, {}, aUpdate.mEra
  };
  for (const StoreItem& item : aUpdate.mItems) {
    update.mItems.push_back(
      { item.mKey, item.mValue, item.mRevision, item.mIsDeleted });
  }
  for (const Member& member : mHooks.mMembers()) {
    if (member.mStatus == MemberStatus::kAlive && member.mNode != mSelf) {
      mHooks.mSend(member, update);
    }
  }
}

StoreReader*
StoreWatch::FindReader(const std::string& aPrefix)
{
  for (StoreReader* reader : { &mRouting, &mReplicas }) {
    if (reader->Prefix() == aPrefix) {
      return reader;
    }
  }
  return nullptr;
}

bool
StoreWatch::HandleMessage(const NodeId& aFrom, const PeerMessage& aMessage)
{
  if (const auto* request = std::get_if<PublishedRequest>(&aMessage)) {
    On(aFrom, *request);
    return true;
  }
  if (const auto* update = std::get_if<PublishedNews>(&aMessage)) {
    On(aFrom, *update);
    return true;
  }
  if (const auto* peerReply = std::get_if<PublishedReply>(&aMessage)) {
    On(aFrom, *peerReply);
    return true;
  }
  return false;
}

void
StoreWatch::SendTo(const NodeId& aNode, const PeerMessage& aMessage)
{
  const Member* peer = FindMember(mHooks.mMembers(), aNode);
  Member unknown;
  unknown.mNode = aNode;
  mHooks.mSend(peer != nullptr ? *peer : unknown, aMessage);
}

void
StoreWatch::On(const NodeId& aFrom, const PublishedRequest& aRequest)
{
  const StoreReader* reader = FindReader(aRequest.mPrefix);
  if (reader == nullptr ||
      std::pair(reader->HeldEra(), reader->HeldRevision()) <=
        std::pair(aRequest.mKnownEra, aRequest.mKnownRevision)) {
    return;
  }
  PublishedReply reply{
    aRequest.mPrefix, reader->HeldRevision(), {}, reader->HeldEra()
  };
  for (const auto& [key, item] : reader->HeldItems()) {
    reply.mItems.push_back({ key, item.mValue, item.mRevision, false });
  }
  SendTo(aFrom, reply);
}

void
StoreWatch::On(const NodeId& aFrom, const PublishedNews& aUpdate)
{
  StoreReader* reader = FindReader(aUpdate.mPrefix);
  StoreUpdate taken{ aUpdate.mFrom, aUpdate.mAt, {}, aUpdate.mEra };
  for (const PublishedItem& item : aUpdate.mItems) {
    taken.mItems.push_back(
      { item.mKey, item.mValue, item.mRevision, item.mIsDeleted });
  }
  if (reader != nullptr && reader->ApplyUpdate(taken)) {
    SendTo(aFrom, RequestFor(*reader));
  }
}

void
StoreWatch::On(const NodeId& aFrom, const PublishedReply& aReply)
{
  StoreReader* reader = FindReader(aReply.mPrefix);
  if (reader == nullptr) {
    return;
  }
  StoreReader::Items items;
  for (const PublishedItem& item : aReply.mItems) {
    items[item.mKey] = { item.mKey, item.mValue, item.mRevision, false };
  }
  mLog.Add(LogLevel::kInfo,
           "news-from-peer",
           "",
           "from=" + aFrom.mName.mValue + " prefix=" + aReply.mPrefix +
             " era=" + std::to_string(aReply.mEra) +
             " at=" + std::to_string(aReply.mAt) +
             " held_at=" + std::to_string(reader->HeldRevision()));
  reader->ApplyPeerSnapshot(aReply.mEra, aReply.mAt, std::move(items));
}

void
StoreWatch::OnRestored(const char* aName, StoreEra aEra)
{
  mLog.Add(LogLevel::kWarning,
           "store-restored",
           "",
           std::string("reader=") + aName + " era=" + std::to_string(aEra));
}

void
StoreWatch::OnReachability(const char* aName,
                           bool aIsReachable,
                           const std::string& aReason)
{
  mLog.Add(LogLevel::kWarning,
           aIsReachable ? "store-reached" : "store-lost",
           "",
           std::string("reader=") + aName + " reason=\"" + aReason + "\"");
}

} // namespace heatherfork::relay
