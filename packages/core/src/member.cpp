#include "heatherfork/member.h"

#include <algorithm>

namespace heatherfork {

const Member*
FindMember(const Members& aMembers, const NodeId& aNode)
{
  const auto it =
    std::find_if(aMembers.begin(), aMembers.end(), [&](const Member& aMember) {
      return aMember.mNode == aNode;
    });
  return it == aMembers.end() ? nullptr : &*it;
}

const char*
ToString(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::kAlive:
      return "alive";
    case MemberStatus::kSuspect:
      return "suspect";
    case MemberStatus::kLeaving:
      return "leaving";
    case MemberStatus::kDead:
      return "dead";
  }
  return "";
}

} // namespace heatherfork
