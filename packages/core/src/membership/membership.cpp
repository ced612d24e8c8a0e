#include "heatherfork/detail/membership/membership.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "heatherfork/detail/membership/overlay.h"

namespace heatherfork::detail {

namespace {

Instant
TimeWithJitter(Context& aContext, Duration aInterval)
{
  // Jitter of up to half the interval keeps nodes that started together from
  // acting at the same time.
  std::uniform_int_distribution<Duration::rep> jitter(0, aInterval.count() / 2);
  return aContext.mNow + aInterval + Duration(jitter(aContext.mRandom));
}

Revision
CurrentRevision(const Context& aContext)
{
  return aContext.mConfiguration ? aContext.mConfiguration->mRevision : 0;
}

} // namespace

Membership::Membership(const NodeSettings& aSettings,
                       MembershipListener& aListener,
                       const Members& aKnown)
  : mSettings(aSettings)
  , mMembershipSettings(aSettings.mMembership)
  , mListener(aListener)
{
  const auto maxMembers =
    static_cast<std::size_t>(mMembershipSettings.mMaxMembers);
  Member self{ mSettings.mSelf,
               mSettings.mZone,
               mSettings.mCallerAddress,
               mSettings.mPeerAddress };
  self.mProcessorShare = mSettings.mProcessorShare;
  mTable.Merge(self, Instant{}, maxMembers);
  for (const Member& member : aKnown) {
    if (member.mNode.mName != mSettings.mSelf.mName) {
      mTable.Merge(member, Instant{}, maxMembers);
    }
  }
  RefreshViews();
}

const Member&
Membership::Self() const
{
  return *mTable.Find(mSettings.mSelf.mName);
}

// A restarted node takes its start time as the generation, so it supersedes
// its earlier incarnations unless the clock went back. In that case the node
// raises its generation while it joins (ResolveNameConflict).
void
Membership::EnsureStarted(const Context& aContext)
{
  if (mIsStarted) {
    return;
  }
  mIsStarted = true;
  mStartedAt = aContext.mNow;
  mLastTimer = aContext.mNow;
  Member self = Self();
  if (aContext.mConfiguration == nullptr) {
    self.mCallerAddress = Address{}; // Set by AnnounceServing.
  }
  self.mGeneration = static_cast<std::uint64_t>(
    ToMilliseconds(aContext.mNow.time_since_epoch()));
  mTable.Merge(self, aContext.mNow, mTable.Size());
  mAreViewsStale = true;
  RefreshViews();
}

void
Membership::RefreshViews()
{
  if (!mAreViewsStale) {
    return;
  }
  mAreViewsStale = false;
  mAll = mTable.All();
  ++mViewNumber;
  mNeighbours = detail::Neighbours(mAll, mSettings.mSelf);
}

void
Membership::On(Context& aContext, const TimerFired& /*aEvent*/)
{
  EnsureStarted(aContext);
  if (mIsReplaced) {
    return;
  }
  DetectPause(aContext);
  RelayUnansweredProbes(aContext);
  SuspectUnreachable(aContext);
  DeclareTimedOutSuspectsDead(aContext);
  ProbeNextNeighbour(aContext);
  ProbeDisputed(aContext);
  ProbeRandomDead(aContext);
  ProbeSuccessors(aContext);
  ProbeSeed(aContext);
}

// After this process was paused (VM freeze, scheduling delay), missing answers
// are no evidence against other nodes: open probes are dropped and suspicion
// timers restart.
void
Membership::DetectPause(const Context& aContext)
{
  if (aContext.mNow - mLastTimer > mMembershipSettings.mPauseGap) {
    mProber.Clear();
    mTable.ResetChangeTimes(MemberStatus::kSuspect, aContext.mNow);
  }
  mLastTimer = aContext.mNow;
}

void
Membership::RelayUnansweredProbes(Context& aContext)
{
  for (const auto& [number, probe] :
       mProber.TakeUnanswered(mMembershipSettings, aContext.mNow)) {
    const Member* target = FindMember(mAll, probe.mTarget);
    if (!target) {
      continue;
    }
    std::vector<NodeId> relays = mNeighbours;
    std::erase(relays, probe.mTarget);
    std::shuffle(relays.begin(), relays.end(), aContext.mRandom);
    relays.resize(std::min(
      relays.size(), static_cast<std::size_t>(mMembershipSettings.mRelays)));
    for (const NodeId& relay : relays) {
      aContext.Send(relay,
                    ProbeRelay{ number, probe.mTarget, target->mPeerAddress });
    }
  }
}

void
Membership::SuspectUnreachable(Context& aContext)
{
  for (const NodeId& target :
       mProber.TakeFailed(mMembershipSettings, aContext.mNow)) {
    const Member* known = mTable.Find(target.mName);
    if (!known || known->mNode != target) {
      continue;
    }
    Member suspect = *known;
    suspect.mStatus = MemberStatus::kSuspect;
    MergeMember(aContext, suspect);
  }
  RefreshViews();
}

void
Membership::DeclareTimedOutSuspectsDead(Context& aContext)
{
  if (!mTable.HasSuspects()) {
    return;
  }
  for (const NodeName& name : mTable.WithStatus(MemberStatus::kSuspect)) {
    if (aContext.mNow - mTable.ChangedAt(name) <
        mMembershipSettings.mSuspectTimeout) {
      continue;
    }
    Member dead = *mTable.Find(name);
    dead.mStatus = MemberStatus::kDead;
    MergeMember(aContext, dead);
  }
  RefreshViews();
}

void
Membership::ProbeNextNeighbour(Context& aContext)
{
  const Duration period = mTable.HasUpdates()
                            ? mMembershipSettings.mNewsPeriod
                            : mMembershipSettings.mProbePeriod;
  if (IsAlone() || aContext.mNow - mLastProbe < period) {
    return;
  }
  mLastProbe = aContext.mNow;
  const NodeId target = mNeighbours[mProbeIndex++ % mNeighbours.size()];
  SendProbe(aContext, target);
}

void
Membership::ProbeDisputed(Context& aContext)
{
  if (mDisputedDeaths.empty() ||
      aContext.mNow - mLastDisputeProbe < mMembershipSettings.mNewsPeriod) {
    return;
  }
  mLastDisputeProbe = aContext.mNow;
  // A random choice spreads the disputed members over the probing nodes.
  auto it = mDisputedDeaths.begin();
  std::advance(it, aContext.mRandom() % mDisputedDeaths.size());
  const Member disputed = it->second;
  mDisputedDeaths.erase(it);
  const Member* known = mTable.Find(disputed.mNode.mName);
  if (!known || known->mNode != disputed.mNode ||
      Supersedes(*known, disputed)) {
    return;
  }
  Probe probe = MakeProbe(aContext, disputed.mNode);
  probe.mGossip.insert(probe.mGossip.begin(), disputed);
  if (IsKnownAlive(disputed.mNode)) {
    probe.mNumber = mProber.Open(OpenProbe{ disputed.mNode, aContext.mNow });
  }
  aContext.Send(disputed.mNode, std::move(probe));
}

// After a network partition heals, each side still lists the other as dead.
// Probing a random dead member lets the two sides rejoin.
void
Membership::ProbeRandomDead(Context& aContext)
{
  if (aContext.mNow < mNextDeadProbe) {
    return;
  }
  mNextDeadProbe =
    TimeWithJitter(aContext, mMembershipSettings.mDeadProbeInterval);
  mTable.EvictDead(aContext.mNow - mMembershipSettings.mDeadRetention);
  mAreViewsStale = true;
  RefreshViews();
  const auto dead = mTable.WithStatus(MemberStatus::kDead);
  if (dead.empty()) {
    return;
  }
  const Member* member = mTable.Find(dead[aContext.mRandom() % dead.size()]);
  SendOwnRecord(aContext, member->mNode, member->mPeerAddress);
}

// When several nodes restart together, their seeds may know none of the nodes
// that kept running. So the address of an unresponsive node is probed for a new
// incarnation until one is known.
void
Membership::ProbeSuccessors(Context& aContext)
{
  if (aContext.mNow < mNextSuccessorProbe) {
    return;
  }
  mNextSuccessorProbe =
    TimeWithJitter(aContext, mMembershipSettings.mProbePeriod);
  std::set<Address> used;
  std::set<Address> left;
  for (const Member& member : mAll) {
    const bool isUnanswered = member.mStatus == MemberStatus::kSuspect ||
                              member.mStatus == MemberStatus::kDead;
    if (!isUnanswered) {
      used.insert(member.mPeerAddress);
    } else if (aContext.mNow - mTable.ChangedAt(member.mNode.mName) <
               mMembershipSettings.mJoinTime) {
      left.insert(member.mPeerAddress);
    }
  }
  std::vector<Address> unknown;
  std::set_difference(left.begin(),
                      left.end(),
                      used.begin(),
                      used.end(),
                      std::back_inserter(unknown));
  if (!unknown.empty()) {
    SendOwnRecord(
      aContext, NodeId{}, unknown[aContext.mRandom() % unknown.size()]);
  }
}

std::vector<Address>
Membership::UnknownSeeds() const
{
  std::vector<Address> seeds = mSettings.mSeeds;
  seeds.insert(seeds.end(), mListedSeeds.begin(), mListedSeeds.end());
  std::erase_if(seeds, [this](const Address& aSeed) {
    return std::any_of(mAll.begin(), mAll.end(), [&](const Member& aMember) {
      return aMember.mPeerAddress == aSeed &&
             aMember.mStatus != MemberStatus::kDead;
    });
  });
  return seeds;
}

void
Membership::ProbeSeed(Context& aContext)
{
  if (aContext.mNow < mNextSeed) {
    return;
  }
  mNextSeed = TimeWithJitter(aContext,
                             IsAlone() ? mMembershipSettings.mProbePeriod
                                       : mMembershipSettings.mSeedInterval);
  const std::vector<Address> seeds = UnknownSeeds();
  if (!seeds.empty()) {
    SendOwnRecord(aContext, NodeId{}, seeds[mSeedIndex++ % seeds.size()]);
  }
}

Probe
Membership::MakeProbe(const Context& aContext, const NodeId& aTarget)
{
  Probe probe;
  probe.mRevision = CurrentRevision(aContext);
  probe.mDigest = mTable.Digest();
  probe.mGossip = mTable.TakeUpdates(mMembershipSettings.mMaxGossip);
  // Includes the record of the target's name if it is suspect, dead or of
  // another incarnation, so that the target can refute it.
  const Member* known = mTable.Find(aTarget.mName);
  if (known &&
      (known->mNode != aTarget || known->mStatus == MemberStatus::kSuspect ||
       known->mStatus == MemberStatus::kDead)) {
    probe.mGossip.push_back(*known);
  }
  return probe;
}

void
Membership::SendProbe(Context& aContext, const NodeId& aTarget)
{
  Probe probe = MakeProbe(aContext, aTarget);
  probe.mNumber = mProber.Open(OpenProbe{ aTarget, aContext.mNow });
  aContext.Send(aTarget, std::move(probe));
}

void
Membership::SendOwnRecord(Context& aContext,
                          const NodeId& aNode,
                          const Address& aTo)
{
  Probe probe = MakeProbe(aContext, aNode);
  probe.mGossip.push_back(Self());
  aContext.Emit(SendToPeer{ aNode, std::move(probe), aTo });
}

void
Membership::On(Context& aContext, const PeerLost& aEvent)
{
  EnsureStarted(aContext);
  if (IsKnownAlive(aEvent.mPeer) && !mProber.IsProbing(aEvent.mPeer)) {
    SendProbe(aContext, aEvent.mPeer);
  }
}

void
Membership::On(Context& aContext, const VmListRead& aEvent)
{
  EnsureStarted(aContext);
  mListedSeeds.clear();
  for (const VmRecord& vm : aEvent.mVms) {
    if (vm.mRole == VmRole::kEntry && !vm.mLeaving) {
      mListedSeeds.push_back(vm.mPeerAddress);
    }
  }
}

void
Membership::On(Context& aContext, const StopRequested& /*aEvent*/)
{
  EnsureStarted(aContext);
  Member self = Self();
  self.mStatus = MemberStatus::kLeaving;
  ++self.mVersion;
  PublishSelf(aContext, self);
  RefreshViews();
  for (const NodeId& neighbour : mNeighbours) {
    SendProbe(aContext, neighbour);
  }
}

} // namespace heatherfork::detail
