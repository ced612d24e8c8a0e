#include <algorithm>
#include <bit>
#include <utility>

#include "heatherfork/detail/membership/membership.h"

/// Handlers of membership messages from other nodes.
namespace heatherfork::detail {

namespace {

bool
IsSameInstance(const Member& aLeft, const Member& aRight)
{
  return aLeft.mNode == aRight.mNode && aLeft.mGeneration == aRight.mGeneration;
}

bool
IsDead(const Member& aMember)
{
  return aMember.mStatus == MemberStatus::kDead;
}

} // namespace

int
Membership::TransmitLimit() const
{
  return mMembershipSettings.mGossipFactor *
         static_cast<int>(std::bit_width(mTable.Size()));
}

bool
Membership::IsKnownAlive(const NodeId& aNode) const
{
  const Member* known = mTable.Find(aNode.mName);
  return known && known->mNode == aNode && !IsDead(*known);
}

void
Membership::On(Context& aContext, const NodeId& aFrom, const Probe& aMessage)
{
  EnsureStarted(aContext);
  const bool wasKnown = IsKnownAlive(aFrom);
  ApplyGossip(aContext, aMessage.mGossip);
  Probe answer = MakeProbe(aContext, aFrom);
  if (!wasKnown) {
    answer.mGossip.push_back(Self());
  }
  aContext.Send(aFrom,
                ProbeAck{ aMessage.mNumber,
                          answer.mRevision,
                          answer.mDigest,
                          std::move(answer.mGossip) });
  SyncIfDigestsDiffer(aContext, aFrom, aMessage.mDigest, !wasKnown);
}

void
Membership::On(Context& aContext, const NodeId& aFrom, const ProbeAck& aMessage)
{
  EnsureStarted(aContext);
  const bool wasKnown = IsKnownAlive(aFrom);
  const OpenProbe probe = mProber.CloseAnswered(aMessage.mNumber, aFrom);
  if (probe.mRequester.mIncarnation != 0) {
    aContext.Send(probe.mRequester,
                  ProbeRelayed{ probe.mRequesterNumber, aFrom });
  }
  ApplyGossip(aContext, aMessage.mGossip);
  SyncIfDigestsDiffer(aContext, aFrom, aMessage.mDigest, !wasKnown);
}

void
Membership::On(Context& aContext,
               const NodeId& aFrom,
               const ProbeRelay& aMessage)
{
  EnsureStarted(aContext);
  Probe probe = MakeProbe(aContext, aMessage.mTarget);
  probe.mNumber = mProber.Open(OpenProbe{
    aMessage.mTarget, aContext.mNow, false, aFrom, aMessage.mNumber });
  aContext.Emit(
    SendToPeer{ aMessage.mTarget, std::move(probe), aMessage.mAddress });
}

void
Membership::On(Context& aContext,
               const NodeId& /*aFrom*/,
               const ProbeRelayed& aMessage)
{
  EnsureStarted(aContext);
  mProber.CloseRelayed(aMessage.mNumber, aMessage.mTarget);
}

// Digests differ for a short time while updates are in transit. A table sync
// is requested only after the mismatch has lasted mSyncDelay, or at once for a
// peer that was not known to be alive.
void
Membership::SyncIfDigestsDiffer(Context& aContext,
                                const NodeId& aFrom,
                                std::uint64_t aDigest,
                                bool aIsUrgent)
{
  if (aDigest == mTable.Digest()) {
    mMismatchSince = Instant{};
    return;
  }
  if (mMismatchSince == Instant{}) {
    mMismatchSince = aContext.mNow;
  }
  const bool isDue = aIsUrgent || aContext.mNow - mMismatchSince >=
                                    mMembershipSettings.mSyncDelay;
  if (!isDue || aContext.mNow < mNextSync) {
    return;
  }
  mNextSync = aContext.mNow + mMembershipSettings.mSyncInterval;
  mMismatchSince = Instant{};
  SyncRequest request;
  const bool isNew = mTable.Size() <= 2;
  if (!isNew) {
    request.mBuckets.assign(mTable.Buckets().begin(), mTable.Buckets().end());
  }
  aContext.Send(aFrom, std::move(request));
}

void
Membership::On(Context& aContext,
               const NodeId& aFrom,
               const SyncRequest& aMessage)
{
  EnsureStarted(aContext);
  SyncReply reply;
  if (aMessage.mBuckets.size() != kSyncBuckets) {
    reply.mMembers = mTable.All();
    aContext.Send(aFrom, std::move(reply));
    return;
  }
  for (std::uint32_t i = 0; i < kSyncBuckets; ++i) {
    if (aMessage.mBuckets[i] != mTable.Buckets()[i]) {
      reply.mWanted.push_back(i);
    }
  }
  std::shuffle(reply.mWanted.begin(), reply.mWanted.end(), aContext.mRandom);
  const auto limit =
    static_cast<std::size_t>(mMembershipSettings.mMaxSyncBuckets);
  reply.mWanted.resize(std::min(reply.mWanted.size(), limit));
  reply.mMembers = mTable.InBuckets(reply.mWanted);
  aContext.Send(aFrom, std::move(reply));
}

void
Membership::On(Context& aContext,
               const NodeId& aFrom,
               const SyncReply& aMessage)
{
  EnsureStarted(aContext);
  // Synced members are not queued for gossip: other nodes find them by
  // comparing digests themselves. Gossiping whole tables would keep the fleet
  // busy for minutes after a restart.
  mIsSyncing = true;
  ApplyGossip(aContext, aMessage.mMembers);
  mIsSyncing = false;
  if (!aMessage.mWanted.empty()) {
    aContext.Send(aFrom, SyncReply{ {}, mTable.InBuckets(aMessage.mWanted) });
  }
}

void
Membership::ApplyGossip(Context& aContext, const Members& aMembers)
{
  for (const Member& member : aMembers) {
    ApplyUpdate(aContext, member);
  }
  RefreshViews();
}

void
Membership::ApplyUpdate(Context& aContext, const Member& aMember)
{
  if (aMember.mNode.mName.Empty() || aMember.mNode.mIncarnation == 0) {
    return;
  }
  if (aMember.mNode == mSettings.mSelf) {
    ApplyUpdateToSelf(aContext, aMember);
  } else if (aMember.mNode.mName == mSettings.mSelf.mName) {
    ResolveNameConflict(aContext, aMember);
  } else if (!RecordDispute(aMember)) {
    MergeMember(aContext, aMember);
  }
}

// A death reported by another node is not accepted directly: after a partition
// each side would declare its own live members dead. A node that holds or
// receives a disputed death probes the member, which refutes it or does not
// answer.
bool
Membership::RecordDispute(const Member& aUpdate)
{
  const Member* known = mTable.Find(aUpdate.mNode.mName);
  if (!known || !IsSameInstance(*known, aUpdate) ||
      IsDead(*known) == IsDead(aUpdate)) {
    return false;
  }
  const Member& dead = IsDead(aUpdate) ? aUpdate : *known;
  const Member& alive = IsDead(aUpdate) ? *known : aUpdate;
  if (Supersedes(alive, dead)) {
    return false;
  }
  if (alive.mStatus != MemberStatus::kSuspect) {
    mDisputedDeaths[dead.mNode.mName] = dead;
  }
  return true;
}

void
Membership::ApplyUpdateToSelf(Context& aContext, const Member& aMember)
{
  Member self = Self();
  if (!Supersedes(aMember, self)) {
    return;
  }
  const MemberStatus status = self.mStatus;
  self.mGeneration = aMember.mGeneration;
  self.mEpoch = aMember.mEpoch + (IsDead(aMember) ? 1 : 0);
  self.mVersion = aMember.mVersion + 1;
  self.mStatus = status;
  PublishSelf(aContext, self);
}

void
Membership::AnnounceServing(const Context& aContext)
{
  Member self = Self();
  if (self.mCallerAddress == mSettings.mCallerAddress) {
    return;
  }
  self.mCallerAddress = mSettings.mCallerAddress;
  ++self.mVersion;
  PublishSelf(aContext, self);
}

void
Membership::RaiseEpoch(const Context& aContext, std::uint32_t aEpoch)
{
  Member self = Self();
  if (aEpoch <= self.mEpoch) {
    return;
  }
  self.mEpoch = aEpoch;
  ++self.mVersion;
  PublishSelf(aContext, self);
}

void
Membership::ResolveNameConflict(Context& aContext, const Member& aMember)
{
  Member self = Self();
  if (!Supersedes(aMember, self)) {
    return;
  }
  const bool isJoining =
    aContext.mNow - mStartedAt < mMembershipSettings.mJoinTime;
  if (!isJoining && !IsDead(aMember)) {
    mIsReplaced = true;
    mListener.OnReplaced(aContext);
    return;
  }
  // The clock of this node is behind that of the earlier incarnation.
  self.mGeneration = aMember.mGeneration + 1;
  PublishSelf(aContext, self);
}

void
Membership::PublishSelf(const Context& aContext, const Member& aMember)
{
  mTable.Merge(aMember, aContext.mNow, mTable.Size());
  mTable.Announce(aMember.mNode.mName, TransmitLimit());
  mAreViewsStale = true;
  RefreshViews();
}

void
Membership::MergeMember(Context& aContext, const Member& aMember)
{
  const auto limit = static_cast<std::size_t>(mMembershipSettings.mMaxMembers);
  const auto change = mTable.Merge(aMember, aContext.mNow, limit);
  if (!change) {
    return;
  }
  if (!mIsSyncing) {
    mTable.Announce(aMember.mNode.mName, TransmitLimit());
  }
  mAreViewsStale = true;
  const bool wasAlive = change->mBefore && !IsDead(*change->mBefore);
  const bool isReplaced =
    change->mBefore && change->mBefore->mNode != aMember.mNode;
  if (wasAlive && (isReplaced || IsDead(aMember))) {
    RefreshViews();
    mListener.OnGone(aContext, change->mBefore->mNode);
  }
}

} // namespace heatherfork::detail
