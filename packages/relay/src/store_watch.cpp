#include "heatherfork/detail/relay/store_watch.h"

#include <algorithm>

#include "heatherfork/store_readers.h"

namespace heatherfork::relay {

namespace {

// Members change seldom; a reader that is lost is missed before this.
constexpr Duration kChooseInterval = Milliseconds(100);

// The pace of reading that keeps a bound on the age of news, also when a
// connection has gone silent: wait, time-out and pause together stay below it.
// Nodes that others read for are told in each period of the watch, and ask for
// themselves early enough for one call that times out.
StorePace
PaceWithin(Duration aBound, Duration aPause)
{
  const Duration period = aBound * 3 / 8;
  StorePace pace;
  pace.mPause = aPause;
  pace.mWait = period - aPause;
  pace.mTimeout = aBound * 2 / 5;
  pace.mFresh = aBound / 2;
  return pace;
}

} // namespace

StoreWatch::StoreWatch(const RelayNodeSettings& aSettings,
                       IoLoop& aLoop,
                       const RelayWire& aWire,
                       LineLog& aLog,
                       Node aNode)
  : mSelf(aSettings.mNode.mSelf)
  , mWire(aWire)
  , mLog(aLog)
  , mNode(std::move(aNode))
  , mRouting(
      aLoop,
      mWire,
      aSettings.mStore,
      mWire.RoutingKey(),
      PaceWithin(aSettings.mRelay.mRoutingBound, Duration{}),
      StoreHooks{
        [this](const StoreReader::Items& aItems) { OnRoutingItems(aItems); },
        [this](bool aReached, const std::string& aReason) {
          OnReach("routing", aReached, aReason);
        },
        [this](const StoreNews& aNews) { TellOthers(mRouting, aNews); },
        [](const StoreItem& aOld, const StoreItem& aNew) {
          return aOld.mValue != aNew.mValue;
        } })
  , mReplicas(
      aLoop,
      mWire,
      aSettings.mStore,
      mWire.ReplicasPrefix(),
      PaceWithin(aSettings.mRelay.mLeavingBound,
                 aSettings.mRelay.mLeavingBound / 8),
      StoreHooks{
        [this](const StoreReader::Items& aItems) { OnReplicaItems(aItems); },
        [this](bool aReached, const std::string& aReason) {
          OnReach("replicas", aReached, aReason);
          mNode.mPost(StoreReached{ aReached });
        },
        [this](const StoreNews& aNews) { TellOthers(mReplicas, aNews); },
        [this](const StoreItem& aOld, const StoreItem& aNew) {
          // Replicas write again and again that they live.
          std::string reason;
          return mWire.ReadReplica(aOld.mKey, aOld.mValue, reason) !=
                 mWire.ReadReplica(aNew.mKey, aNew.mValue, reason);
        } })
  , mRandom(aSettings.mNode.mSeed)
{
}

void
StoreWatch::OnTime(Instant aNow)
{
  ChooseReaders(aNow);
  for (StoreReader* reader : { &mRouting, &mReplicas }) {
    reader->OnTime(aNow);
    if (reader->WantsPeer(aNow)) {
      AskPeer(*reader);
    }
  }
}

void
StoreWatch::OnRoutingItems(const StoreReader::Items& aItems)
{
  const auto it = aItems.find(mWire.RoutingKey());
  if (it == aItems.end()) {
    return;
  }
  std::string reason;
  const RoutingPtr routing = mWire.ReadRouting(it->second.mValue, reason);
  if (routing == nullptr) {
    mLog.Add(LogLevel::kWarning, "routing-unreadable", "", reason);
    return;
  }
  mNode.mSetLimits(routing->mLimits);
  mNode.mPost(RoutingRead{ routing });
}

void
StoreWatch::OnReplicaItems(const StoreReader::Items& aItems)
{
  Replicas replicas;
  for (const auto& [key, item] : aItems) {
    std::string reason;
    const auto replica = mWire.ReadReplica(key, item.mValue, reason);
    if (!replica) {
      std::string text = "key=" + key;
      text.append(" reason=\"").append(reason).append("\"");
      mLog.Add(LogLevel::kInfo, "replica-unreadable", "", text);
      continue;
    }
    replicas.push_back(*replica);
  }
  std::sort(replicas.begin(), replicas.end());
  mNode.mPost(ReplicasRead{ std::move(replicas) });
}

// Any living node will do: half of them may not be answered either, and another
// one is asked the next time.
void
StoreWatch::AskPeer(StoreReader& aReader)
{
  std::vector<const Member*> others;
  for (const Member& member : mNode.mMembers()) {
    if (member.mStatus == MemberStatus::kAlive && member.mNode != mSelf) {
      others.push_back(&member);
    }
  }
  if (others.empty()) {
    return;
  }
  const Member& peer = *others[mRandom() % others.size()];
  mNode.mSend(peer, PublishedRequest{ aReader.Prefix(), aReader.HeldAt() });
}

void
StoreWatch::ChooseReaders(Instant aNow)
{
  if (aNow < mChooseAt) {
    return;
  }
  mChooseAt = aNow + kChooseInterval;
  const bool reads = ReadsStore(mNode.mMembers(), mSelf);
  if (reads != mReadsForOthers) {
    mReadsForOthers = reads;
    mLog.Add(LogLevel::kInfo,
             "store-reader",
             "",
             std::string("reads_for_others=") + (reads ? "yes" : "no"));
  }
  mRouting.SetReadsForOthers(reads);
  mReplicas.SetReadsForOthers(reads);
}

// Also without a change: it says that the others need not ask.
void
StoreWatch::TellOthers(const StoreReader& aReader, const StoreNews& aNews)
{
  PublishedNews news{ aReader.Prefix(), aNews.mFrom, aNews.mAt, {} };
  for (const StoreItem& item : aNews.mItems) {
    news.mItems.push_back(
      { item.mKey, item.mValue, item.mRevision, item.mIsDeleted });
  }
  for (const Member& member : mNode.mMembers()) {
    if (member.mStatus == MemberStatus::kAlive && member.mNode != mSelf) {
      mNode.mSend(member, news);
    }
  }
}

StoreReader*
StoreWatch::ReaderOf(const std::string& aPrefix)
{
  for (StoreReader* reader : { &mRouting, &mReplicas }) {
    if (reader->Prefix() == aPrefix) {
      return reader;
    }
  }
  return nullptr;
}

bool
StoreWatch::Take(const NodeId& aFrom, const PeerMessage& aMessage)
{
  if (const auto* asked = std::get_if<PublishedRequest>(&aMessage)) {
    On(aFrom, *asked);
    return true;
  }
  if (const auto* news = std::get_if<PublishedNews>(&aMessage)) {
    On(aFrom, *news);
    return true;
  }
  if (const auto* told = std::get_if<PublishedReply>(&aMessage)) {
    On(aFrom, *told);
    return true;
  }
  return false;
}

void
StoreWatch::SendTo(const NodeId& aNode, const PeerMessage& aMessage)
{
  const Member* peer = FindMember(mNode.mMembers(), aNode);
  Member unknown;
  unknown.mNode = aNode;
  mNode.mSend(peer != nullptr ? *peer : unknown, aMessage);
}

void
StoreWatch::On(const NodeId& aFrom, const PublishedRequest& aAsked)
{
  const StoreReader* reader = ReaderOf(aAsked.mPrefix);
  if (reader == nullptr || reader->HeldAt() <= aAsked.mHave) {
    return;
  }
  PublishedReply reply{ aAsked.mPrefix, reader->HeldAt(), {} };
  for (const auto& [key, item] : reader->Held()) {
    reply.mItems.push_back({ key, item.mValue, item.mRevision, false });
  }
  SendTo(aFrom, reply);
}

void
StoreWatch::On(const NodeId& aFrom, const PublishedNews& aNews)
{
  StoreReader* reader = ReaderOf(aNews.mPrefix);
  StoreNews taken{ aNews.mFrom, aNews.mAt, {} };
  for (const PublishedItem& item : aNews.mItems) {
    taken.mItems.push_back(
      { item.mKey, item.mValue, item.mRevision, item.mIsDeleted });
  }
  if (reader != nullptr && reader->TakeNews(taken)) {
    SendTo(aFrom, PublishedRequest{ reader->Prefix(), reader->HeldAt() });
  }
}

void
StoreWatch::On(const NodeId& aFrom, const PublishedReply& aTold)
{
  StoreReader* reader = ReaderOf(aTold.mPrefix);
  if (reader == nullptr) {
    return;
  }
  StoreReader::Items items;
  for (const PublishedItem& item : aTold.mItems) {
    items[item.mKey] = { item.mKey, item.mValue, item.mRevision, false };
  }
  mLog.Add(LogLevel::kInfo,
           "news-from-peer",
           "",
           "from=" + aFrom.mName.mValue + " prefix=" + aTold.mPrefix +
             " at=" + std::to_string(aTold.mAt) +
             " held_at=" + std::to_string(reader->HeldAt()));
  reader->TakeFromPeer(aTold.mAt, std::move(items));
}

void
StoreWatch::OnReach(const char* aWhat,
                    bool aReached,
                    const std::string& aReason)
{
  mLog.Add(LogLevel::kWarning,
           aReached ? "store-reached" : "store-lost",
           "",
           std::string("reader=") + aWhat + " reason=\"" + aReason + "\"");
}

} // namespace heatherfork::relay
