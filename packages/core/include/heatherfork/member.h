#pragma once

#include <cstdint>
#include <vector>

#include "heatherfork/ids.h"

/// A node's view of the fleet.
namespace heatherfork {

/// Status of a node as seen by another one.
enum class MemberStatus : std::uint8_t
{
  kAlive,
  kSuspect,
  kLeaving,
  kDead,
};

/// Record of one node as seen by another one.
struct Member
{
  NodeId mNode;
  ZoneName mZone;
  Address mCallerAddress; ///< Empty until the node serves callers.
  Address mPeerAddress;
  MemberStatus mStatus = MemberStatus::kAlive;
  std::uint32_t mEpoch = 0;      ///< Rises when the node refutes its own death.
  std::uint64_t mGeneration = 0; ///< Orders incarnations of one name.
  std::uint32_t mVersion = 0;    ///< Rises with each update by the node itself.
  std::uint32_t mProcessorShare = 0; ///< Thousandths of a core; 0 if unknown.

  auto operator<=>(const Member&) const = default;
};

/// All known members including this node, ordered by name.
using Members = std::vector<Member>;

/// "alive", "suspect", "leaving" or "dead".
const char*
ToString(MemberStatus aStatus);

/// Finds a member by name and incarnation; null when unknown. The members are
/// ordered by name.
const Member*
FindMember(const Members& aMembers, const NodeId& aNode);

} // namespace heatherfork
