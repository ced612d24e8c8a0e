#include "heatherfork/member.h"

#include <algorithm>

namespace heatherfork {

const Member*
FindMember(const Members& aMembers, const NodeId& aNode)
{
  const auto it =
    std::lower_bound(aMembers.begin(),
                     aMembers.end(),
                     aNode.mName,
                     [](const Member& aMember, const NodeName& aName) {
                       return aMember.mNode.mName < aName;
                     });
  const bool isFound = it != aMembers.end() && it->mNode == aNode;
  return isFound ? &*it : nullptr;
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
