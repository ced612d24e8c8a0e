#pragma once

#include <cstdint>
#include <vector>

#include "heatherfork/ids.h"

/// What a node believes about the nodes of the fleet.
namespace heatherfork {

/// How a node is seen.
enum class MemberStatus : std::uint8_t
{
  kAlive,
  kSuspect,
  kLeaving,
  kDead,
};

/// One node as another one sees it.
struct Member
{
  NodeId mNode;
  ZoneName mZone;
  Address mCallerAddress; ///< Empty until the node serves callers.
  Address mPeerAddress;
  MemberStatus mStatus = MemberStatus::kAlive;
  std::uint32_t mEpoch = 0;      ///< Rises when the node refutes its own death.
  std::uint64_t mGeneration = 0; ///< Orders the lives of one name.
  std::uint32_t mVersion = 0;    ///< Rises with the node's word on itself.

  auto operator<=>(const Member&) const = default;
};

/// All known members, ordered by name; this node is one of them.
using Members = std::vector<Member>;

/// "alive", "suspect", "leaving" or "dead".
const char*
ToString(MemberStatus aStatus);

/// The member with this name and incarnation; null when it is unknown.
const Member*
FindMember(const Members& aMembers, const NodeId& aNode);

} // namespace heatherfork
