#pragma once

#include <compare>
#include <cstdint>
#include <string>

/// Identifiers, each a type of its own.
namespace heatherfork {

/// A name that does not mix with names of another kind.
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

/// A key that a caller gives to one request; unique within its workspace.
using RequestKey = Name<struct RequestKeyTag>;

/// Host and port, "10.0.0.1:8080".
using Address = Name<struct AddressTag>;

/// A node's life, drawn at random when its process starts; never 0.
using Incarnation = std::uint64_t;

/// One life of one node.
struct NodeId
{
  NodeName mName;
  Incarnation mIncarnation = 0;

  auto operator<=>(const NodeId&) const = default;
};

/// One attempt at a backend server. The id is unique across the fleet and is
/// the engine's request id. The upper 32 bits of the sequence hold the node's
/// epoch, which rises whenever the node learns that it was declared dead.
struct AttemptId
{
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;

  auto operator<=>(const AttemptId&) const = default;
};

/// Some backend servers of a pool that one node schedules at a time.
struct ShardId
{
  PoolName mPool;
  ZoneName mZone; ///< Empty when the shard spans the pool's zones.
  int mIndex = 0;

  auto operator<=>(const ShardId&) const = default;
};

/// The bits of an attempt's sequence below the epoch.
inline constexpr int kEpochShift = 32;

/// The epoch in which an attempt was made.
constexpr std::uint32_t
EpochOf(const AttemptId& aAttempt)
{
  return static_cast<std::uint32_t>(aAttempt.mSequence >> kEpochShift);
}

/// A caller's open request at the node that received it.
using CallerId = std::uint64_t;

/// A configuration revision; grows by publication.
using Revision = std::uint64_t;

} // namespace heatherfork
