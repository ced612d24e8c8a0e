#pragma once

#include <compare>
#include <cstdint>
#include <string>

/// Strongly typed identifiers.
namespace heatherfork {

/// A string whose type depends on what it names.
template<class Tag>
struct Name
{
  std::string mValue;

  bool Empty() const { return mValue.empty(); }
  auto operator<=>(const Name&) const = default;
};

using NodeName = Name<struct NodeTag>;
using ServerName = Name<struct ServerTag>;
using WorkspaceName = Name<struct WorkspaceTag>;
using ModelName = Name<struct ModelTag>;
using VersionName = Name<struct VersionTag>;
using AdapterName = Name<struct AdapterTag>;
using PoolName = Name<struct PoolTag>;
using ServiceName = Name<struct ServiceTag>;
using ClassName = Name<struct ClassTag>;
using ZoneName = Name<struct ZoneTag>;

/// A key that a caller assigns to a request; unique within its workspace.
using RequestKey = Name<struct RequestKeyTag>;

/// Host and port, for example "10.0.0.1:8080".
using Address = Name<struct AddressTag>;

/// Distinguishes successive processes of one node. Random, never 0.
using Incarnation = std::uint64_t;

/// A node in one of its incarnations.
struct NodeId
{
  NodeName mName;
  Incarnation mIncarnation = 0;

  auto operator<=>(const NodeId&) const = default;
};

/// Identifies one attempt to run a request. Unique across the fleet; engines
/// use it as their request id. The upper 32 bits of the sequence hold the
/// node's epoch, which rises when the node learns that it was declared dead.
struct AttemptId
{
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;

  auto operator<=>(const AttemptId&) const = default;
};

/// A subset of the backend servers of a pool, scheduled by one node at a time.
struct ShardId
{
  PoolName mPool;
  ZoneName mZone; ///< Empty if the shard spans the pool's zones.
  int mIndex = 0;

  auto operator<=>(const ShardId&) const = default;
};

/// Number of bits of an attempt's sequence below the epoch.
inline constexpr int kEpochShift = 32;

/// The epoch in which an attempt was made.
constexpr std::uint32_t
EpochOf(const AttemptId& aAttempt)
{
  return static_cast<std::uint32_t>(aAttempt.mSequence >> kEpochShift);
}

/// A caller's open request at the node that received it.
using CallerId = std::uint64_t;

/// A configuration revision. Increases with each publication.
using Revision = std::uint64_t;

/// Counts how often the platform's store was restored from an earlier state.
/// Its revisions are ordered within one era only.
using StoreEra = std::uint64_t;

} // namespace heatherfork
