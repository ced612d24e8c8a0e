#include "heatherfork/detail/relay/quota_members.h"

#include <algorithm>

#include "heatherfork/detail/scheduling/rendezvous.h"
#include "heatherfork/duty_members.h"

namespace heatherfork::detail {

namespace {

// Within this time a new node and the others learn of each other.
constexpr Duration kJoinTime = Milliseconds(1000);

// Buckets are full so long after the loss of their earlier owner.
constexpr Duration kLossRetention = Milliseconds(600000);

std::uint64_t
WeightOf(const WorkspaceName& aWorkspace, const NodeId& aNode)
{
  return RendezvousWeight(aWorkspace.mValue, aNode.mName.mValue);
}

} // namespace

bool
QuotaMembers::Update(const Context& aContext)
{
  const Instant now = aContext.mNow;
  if (!mIsStarted) {
    mIsStarted = true;
    mOwnSince = now + kJoinTime;
  } else if (mMembersNumber == aContext.mMembersNumber &&
             (mNextJoin == Instant{} || now < mNextJoin)) {
    return false;
  }
  mMembersNumber = aContext.mMembersNumber;
  UpdatePart(aContext.mMembers);
  const std::vector<NodeId> before = mCandidates;
  UpdateCandidates(aContext);
  for (const NodeId& node : before) {
    if (!std::binary_search(mCandidates.begin(), mCandidates.end(), node)) {
      mLostAt[node] = now;
    }
  }
  std::erase_if(mLostAt, [&](const auto& aItem) {
    return now - aItem.second > kLossRetention;
  });
  if (before == mCandidates) {
    return false;
  }
  mOwners.clear();
  return true;
}

void
QuotaMembers::UpdatePart(const Members& aMembers)
{
  std::set<Address> alive;
  for (const Member& member : aMembers) {
    if (member.mStatus == MemberStatus::kLeaving) {
      mKnown.erase(member.mPeerAddress);
    }
  }
  for (const Member& member : aMembers) {
    if (member.mStatus == MemberStatus::kAlive) {
      alive.insert(member.mPeerAddress);
    }
  }
  mKnown.insert(alive.begin(), alive.end());
  mPart = mKnown.empty() ? 1
                         : static_cast<double>(alive.size()) /
                             static_cast<double>(mKnown.size());
}

// A node that joins later than this one owns nothing until the others know it
// as well. Those that were there when this node started are old ones.
void
QuotaMembers::UpdateCandidates(const Context& aContext)
{
  const Instant now = aContext.mNow;
  for (const Member& member : aContext.mMembers) {
    if (member.mStatus == MemberStatus::kDead) {
      mSeenAt.erase(member.mNode);
    }
  }
  mNextJoin = now < mOwnSince ? mOwnSince : Instant{};
  mCandidates.clear();
  for (const Member* member : DutyMembers(aContext.mMembers)) {
    const Instant seen = mSeenAt.try_emplace(member->mNode, now).first->second;
    const Instant at = seen < mOwnSince ? mOwnSince : seen + kJoinTime;
    if (at <= now) {
      mCandidates.push_back(member->mNode);
    } else if (mNextJoin == Instant{} || at < mNextJoin) {
      mNextJoin = at;
    }
  }
  std::sort(mCandidates.begin(), mCandidates.end());
}

NodeId
QuotaMembers::OwnerOf(const WorkspaceName& aWorkspace) const
{
  const auto [it, isNew] = mOwners.try_emplace(aWorkspace);
  NodeId& owner = it->second;
  if (!isNew) {
    return owner;
  }
  std::uint64_t largest = 0;
  for (const NodeId& node : mCandidates) {
    const std::uint64_t weight = WeightOf(aWorkspace, node);
    if (owner.mIncarnation == 0 || weight > largest) {
      owner = node;
      largest = weight;
    }
  }
  return owner;
}

Instant
QuotaMembers::OwnedSince(const WorkspaceName& aWorkspace) const
{
  const std::uint64_t own = WeightOf(aWorkspace, OwnerOf(aWorkspace));
  Instant since = mOwnSince;
  for (const auto& [node, at] : mLostAt) {
    if (WeightOf(aWorkspace, node) > own) {
      since = std::max(since, at);
    }
  }
  return since;
}

} // namespace heatherfork::detail
