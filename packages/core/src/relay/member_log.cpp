#include "heatherfork/detail/relay/member_log.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

bool
AreSame(const Members& aOne, const Members& aTwo)
{
  return std::equal(aOne.begin(),
                    aOne.end(),
                    aTwo.begin(),
                    aTwo.end(),
                    [](const Member& aFirst, const Member& aSecond) {
                      return aFirst.mStatus == aSecond.mStatus &&
                             aFirst.mNode == aSecond.mNode;
                    });
}

} // namespace

MemberLog::Changes
MemberLog::Update(RelayContext& aContext, std::uint64_t aView)
{
  const Members& members = aContext.mShared.mMembers;
  if (mView == aView || AreSame(members, mLogged)) {
    mView = aView;
    return {};
  }
  mView = aView;
  Changes changes{ true, {} };
  // A line for each node that joins would be the square of the fleet's size in
  // lines when all nodes start.
  for (const Member& member : members) {
    const Member* logged = FindMember(mLogged, member.mNode);
    if (logged == nullptr && member.mStatus == MemberStatus::kAlive) {
      changes.mJoined.push_back(member.mNode);
    } else if (logged == nullptr || logged->mStatus != member.mStatus) {
      aContext.Emit(RelayLogEntry{ "member",
                                   "",
                                   "node=" + member.mNode.mName.mValue +
                                     " status=" + ToString(member.mStatus) });
    }
  }
  if (!changes.mJoined.empty()) {
    aContext.Emit(
      RelayLogEntry{ "members-joined",
                     "",
                     "joined=" + std::to_string(changes.mJoined.size()) +
                       " known=" + std::to_string(members.size()) });
  }
  mLogged = members;
  return changes;
}

} // namespace heatherfork::detail
