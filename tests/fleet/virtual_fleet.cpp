#include "virtual_fleet.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "heatherfork/peer_frame.h"

namespace heatherfork::test {

namespace {

/// One-way latency between nodes.
constexpr Duration kLatency = Duration(500);
constexpr Duration kServiceLatency = Milliseconds(2);
constexpr Duration kServicePollInterval = Milliseconds(5);
constexpr Duration kConnectionRefusedDelay = Milliseconds(1);
/// Pings detect a silent link after this time.
constexpr Duration kLinkLossDetectionDelay = Milliseconds(2000);
/// Length, kind and tag of a frame.
constexpr std::uint64_t kFrameOverheadBytes = 21;
constexpr Instant kStart{ Milliseconds(1'700'000'000'000) };

std::string
ToJson(const ConfigurationHead& aHead)
{
  std::string text =
    absl::StrCat("{\"revision\": ", aHead.mRevision, ", \"parts\": {");
  const char* separator = "";
  for (const auto& [name, digest] : aHead.mDigests) {
    absl::StrAppend(&text, separator, "\"", name, "\": \"", digest, "\"");
    separator = ", ";
  }
  return text + "}}";
}

} // namespace

VirtualFleet::VirtualFleet(std::uint64_t aSeed, int aZoneCount)
  : mSeed(aSeed)
  , mZoneCount(aZoneCount)
  , mNow(kStart)
{
}

std::size_t
VirtualFleet::Add(const std::function<void(NodeSettings&)>& aAdjust)
{
  const std::size_t index = mNodes.size();
  const auto zone = index % static_cast<std::size_t>(mZoneCount);
  NodeSettings settings;
  settings.mSelf =
    NodeId{ NodeName{ absl::StrCat("node-", index) }, index + 1 };
  settings.mZone = ZoneName{ absl::StrCat("zone-", zone) };
  settings.mCallerAddress = Address{ absl::StrCat("10.0.0.", index, ":80") };
  settings.mPeerAddress = Address{ absl::StrCat("10.0.0.", index, ":70") };
  settings.mSeed = mSeed + index;
  settings.mSeeds = { Address{ "10.0.0.0:70" }, Address{ "10.0.0.1:70" } };
  if (aAdjust) {
    aAdjust(settings);
  }
  mNodes.emplace_back();
  mByName[settings.mSelf.mName] = index;
  mByAddress[settings.mPeerAddress] = index;
  mNodes.back().mSettings = std::move(settings);
  Start(index);
  return index;
}

void
VirtualFleet::Start(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mReducer = std::make_unique<Reducer>(node.mSettings);
  node.mIsFrozen = false;
  node.mQueuedEvents.clear();
  const Incarnation incarnation = node.mSettings.mSelf.mIncarnation;
  // Staggers the timers, so that nodes do not tick at the same time.
  const auto phase = Duration(static_cast<std::int64_t>(aNode) * 137 % 20000);
  Schedule(mNow + phase, [=, this] { Tick(aNode, incarnation); });
}

void
VirtualFleet::Restart(std::size_t aNode)
{
  NodeSettings& settings = mNodes[aNode].mSettings;
  // A real node draws a random incarnation; here it only has to be different.
  settings.mSelf.mIncarnation =
    (settings.mSelf.mIncarnation * 6364136223846793005U) + 1;
  ++settings.mSeed;
  Start(aNode);
}

void
VirtualFleet::Resume(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mIsFrozen = false;
  std::vector<EventBody> queuedEvents = std::move(node.mQueuedEvents);
  node.mQueuedEvents.clear();
  for (EventBody& body : queuedEvents) {
    InjectEvent(aNode, std::move(body));
  }
}

void
VirtualFleet::SetMessageLoss(
  std::function<bool(std::size_t, std::size_t)> aIsDropped)
{
  mIsDropped = std::move(aIsDropped);
}

void
VirtualFleet::Publish(Revision aRevision,
                      const std::map<std::string, std::string>& aParts)
{
  mService.mHead = ConfigurationHead{ aRevision };
  for (const auto& [name, body] : aParts) {
    const std::string digest = DigestOf(body);
    mService.mHead.mDigests[name] = digest;
    mService.mParts[digest] = body;
  }
}

void
VirtualFleet::InjectEvent(std::size_t aNode, EventBody aBody)
{
  Deliver(aNode, IdOf(aNode).mIncarnation, std::move(aBody));
}

void
VirtualFleet::Schedule(Instant aWhen, std::function<void()> aStep)
{
  mQueue.emplace(aWhen, std::move(aStep));
}

void
VirtualFleet::RunFor(Duration aTime)
{
  const Instant end = mNow + aTime;
  while (!mQueue.empty() && mQueue.begin()->first <= end) {
    auto next = mQueue.extract(mQueue.begin());
    mNow = next.key();
    next.mapped()();
  }
  mNow = end;
}

std::optional<Duration>
VirtualFleet::RunUntil(const std::function<bool()>& aCondition,
                       Duration aTimeout,
                       Duration aCheckInterval)
{
  const Instant start = mNow;
  while (!aCondition()) {
    if (mNow - start >= aTimeout) {
      return std::nullopt;
    }
    RunFor(aCheckInterval);
  }
  return mNow - start;
}

bool
VirtualFleet::HoldsWithin(const std::function<bool()>& aCondition,
                          Duration aTimeout)
{
  return RunUntil(aCondition, aTimeout).has_value();
}

void
VirtualFleet::Tick(std::size_t aNode, Incarnation aIncarnation)
{
  const Node& node = mNodes[aNode];
  if (!node.mReducer || IdOf(aNode).mIncarnation != aIncarnation) {
    return;
  }
  Schedule(mNow + node.mSettings.mPolicy.mTimerInterval,
           [=, this] { Tick(aNode, aIncarnation); });
  if (!node.mIsFrozen) {
    Handle(aNode, Event{ mNow, TimerFired{} });
  }
}

void
VirtualFleet::Deliver(std::size_t aNode,
                      Incarnation aIncarnation,
                      EventBody aBody)
{
  Node& node = mNodes[aNode];
  if (!node.mReducer || IdOf(aNode).mIncarnation != aIncarnation) {
    return;
  }
  if (node.mIsFrozen) {
    node.mQueuedEvents.push_back(std::move(aBody));
    return;
  }
  Handle(aNode, Event{ mNow, std::move(aBody) });
}

void
VirtualFleet::Handle(std::size_t aNode, const Event& aEvent)
{
  Node& node = mNodes[aNode];
  ++node.mTraffic.mEvents;
  const Effects effects = node.mReducer->Reduce(aEvent);
  for (const Effect& effect : effects) {
    if (const auto* send = std::get_if<SendToPeer>(&effect)) {
      Execute(aNode, *send);
    } else if (const auto* head = std::get_if<ReadHead>(&effect)) {
      Execute(aNode, *head);
    } else if (const auto* part = std::get_if<ReadPart>(&effect)) {
      Execute(aNode, *part);
    } else {
      node.mOtherEffects.push_back(effect);
    }
  }
}

std::optional<std::size_t>
VirtualFleet::FindTarget(const SendToPeer& aEffect) const
{
  const bool hasIdentity = aEffect.mPeer.mIncarnation != 0;
  const auto byName = mByName.find(aEffect.mPeer.mName);
  const auto byAddress = mByAddress.find(aEffect.mAddress);
  if (hasIdentity ? byName == mByName.end() : byAddress == mByAddress.end()) {
    return std::nullopt;
  }
  const std::size_t index = hasIdentity ? byName->second : byAddress->second;
  const NodeSettings& settings = mNodes[index].mSettings;
  const bool isSameNode = !hasIdentity || settings.mSelf == aEffect.mPeer;
  const bool isAtAddress =
    aEffect.mAddress.Empty() || settings.mPeerAddress == aEffect.mAddress;
  if (!isSameNode || !isAtAddress || !mNodes[index].mReducer) {
    return std::nullopt;
  }
  return index;
}

void
VirtualFleet::Execute(std::size_t aNode, const SendToPeer& aEffect)
{
  Node& node = mNodes[aNode];
  const NodeId from = node.mSettings.mSelf;
  const std::uint64_t bytes =
    EncodeFrame(from, aEffect.mMessage).size() + kFrameOverheadBytes;
  node.mTraffic.mBytesSent += bytes;
  ++node.mTraffic.mMessagesSent;
  const auto to = FindTarget(aEffect);
  const bool isDropped = to && mIsDropped && mIsDropped(aNode, *to);
  if (!to || isDropped) {
    Schedule(mNow +
               (isDropped ? kLinkLossDetectionDelay : kConnectionRefusedDelay),
             [=, this] {
               Deliver(aNode, from.mIncarnation, PeerLost{ aEffect.mPeer });
             });
    return;
  }
  const Incarnation incarnation = IdOf(*to).mIncarnation;
  Schedule(mNow + kLatency, [=, this, message = aEffect.mMessage] {
    mNodes[*to].mTraffic.mBytesReceived += bytes;
    Deliver(*to, incarnation, PeerReceived{ from, message });
  });
}

bool
VirtualFleet::IsServiceReachable(std::size_t aNode) const
{
  return !mService.mIsDown && !mService.mUnreachableFrom.contains(aNode);
}

void
VirtualFleet::Execute(std::size_t aNode, const ReadHead& aEffect)
{
  ++mService.mCalls;
  const Instant end = mNow + aEffect.mWait;
  AnswerHead(aNode, IdOf(aNode).mIncarnation, aEffect, end);
}

void
VirtualFleet::AnswerHead(std::size_t aNode,
                         Incarnation aIncarnation,
                         ReadHead aEffect,
                         Instant aEnd)
{
  const bool isNew = mService.mHead.mRevision > aEffect.mAfter;
  if (!isNew && IsServiceReachable(aNode) && mNow < aEnd) {
    Schedule(mNow + kServicePollInterval,
             [=, this] { AnswerHead(aNode, aIncarnation, aEffect, aEnd); });
    return;
  }
  HeadRead read{ IsServiceReachable(aNode) };
  if (read.mOk) {
    read.mBody = ToJson(mService.mHead);
  }
  Schedule(mNow + kServiceLatency,
           [=, this] { Deliver(aNode, aIncarnation, read); });
}

void
VirtualFleet::Execute(std::size_t aNode, const ReadPart& aEffect)
{
  ++mService.mCalls;
  PartRead read{ aEffect.mDigest };
  const auto it = mService.mParts.find(aEffect.mDigest);
  if (it != mService.mParts.end() && IsServiceReachable(aNode)) {
    read.mOk = true;
    read.mBody = it->second;
  }
  const Incarnation incarnation = IdOf(aNode).mIncarnation;
  Schedule(mNow + kServiceLatency,
           [=, this] { Deliver(aNode, incarnation, read); });
}

bool
VirtualFleet::IsRunning(std::size_t aNode) const
{
  return mNodes[aNode].mReducer != nullptr && !mNodes[aNode].mIsFrozen;
}

const NodeId&
VirtualFleet::IdOf(std::size_t aNode) const
{
  return mNodes[aNode].mSettings.mSelf;
}

const NodeTraffic&
VirtualFleet::TrafficOf(std::size_t aNode) const
{
  return mNodes[aNode].mTraffic;
}

void
VirtualFleet::ClearTraffic()
{
  for (Node& node : mNodes) {
    node.mTraffic = NodeTraffic{};
  }
  mService.mCalls = 0;
}

std::optional<MemberStatus>
VirtualFleet::StatusAt(std::size_t aNode, std::size_t aOther) const
{
  const Member* member = FindMember(At(aNode).KnownMembers(), IdOf(aOther));
  return member ? std::optional(member->mStatus) : std::nullopt;
}

bool
VirtualFleet::IsMembershipConsistent() const
{
  for (std::size_t i = 0; i < Size(); ++i) {
    for (std::size_t j = 0; IsRunning(i) && j < Size(); ++j) {
      const auto status = StatusAt(i, j);
      const bool isKnownAlive = status == MemberStatus::kAlive;
      const bool isKnownGone = !status || status == MemberStatus::kDead;
      if (IsRunning(j) ? !isKnownAlive : !isKnownGone) {
        return false;
      }
    }
  }
  return true;
}

std::size_t
VirtualFleet::CountInForce(Revision aRevision) const
{
  return static_cast<std::size_t>(
    std::count_if(mNodes.begin(), mNodes.end(), [&](const Node& aNode) {
      if (!aNode.mReducer) {
        return false;
      }
      const auto current = aNode.mReducer->CurrentConfiguration();
      return current && current->mRevision >= aRevision;
    }));
}

const Effects&
VirtualFleet::OtherEffects(std::size_t aNode) const
{
  return mNodes[aNode].mOtherEffects;
}

} // namespace heatherfork::test
