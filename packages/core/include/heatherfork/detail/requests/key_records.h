#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "heatherfork/request.h"

/// The home's memory of requests that must not repeat.
namespace heatherfork::detail {

/// A key within its workspace.
struct WorkspaceKey
{
  WorkspaceName mWorkspace;
  RequestKey mKey;

  auto operator<=>(const WorkspaceKey&) const = default;
};

/// One request that must not repeat, from its first acceptance until its key
/// expires.
struct KeyRecord
{
  std::uint64_t mFingerprint = 0;
  Instant mExpires{};
  std::optional<Answer> mAnswer; ///< None while it runs.

  auto operator<=>(const KeyRecord&) const = default;
};

/// Limits of the table.
struct KeyRecordLimits
{
  std::size_t mMaxRecords = 0;
  std::size_t mMaxTombstones = 0;
  std::size_t mMaxAnswerBytes = 0; ///< Over all records.
};

/// Records and tombstones by key. A record is never dropped before its key has
/// expired by this node's clock, and an expired key is never accepted by that
/// same clock: a dropped record can't be taken for a new request.
class KeyRecords
{
public:
  /// The record of a key; null when there is none. O(log n).
  const KeyRecord* Find(const WorkspaceKey& aKey) const;

  /// Whether a "not run" was said for this key. O(log n).
  bool IsRefused(const WorkspaceKey& aKey) const;

  /// Opens a record; false when the table is full. O(log n).
  bool Open(const WorkspaceKey& aKey,
            const KeyRecord& aRecord,
            const KeyRecordLimits& aLimits);

  /// Sets the answer of an open record, or a stated error when the answers'
  /// bytes are at their limit. Returns what is recorded.
  const Answer& Close(const WorkspaceKey& aKey,
                      const Answer& aAnswer,
                      const KeyRecordLimits& aLimits);

  /// Turns a record that has not run into a tombstone, or writes a tombstone
  /// where there is no record; false when the tombstones are full.
  bool Refuse(const WorkspaceKey& aKey,
              Instant aExpires,
              const KeyRecordLimits& aLimits);

  /// Takes over a record from a node that is leaving; false when there is one.
  bool Adopt(const WorkspaceKey& aKey, const KeyRecord& aRecord);

  /// Drops what has expired, except records that still run.
  void DropExpired(Instant aNow);

  const std::map<WorkspaceKey, KeyRecord>& All() const { return mRecords; }
  std::size_t TombstoneCount() const { return mTombstones.size(); }

private:
  void Erase(const WorkspaceKey& aKey);

  std::map<WorkspaceKey, KeyRecord> mRecords;
  std::set<std::pair<Instant, WorkspaceKey>> mByExpiry;
  std::map<std::uint64_t, Instant> mTombstones; ///< Hash of key to expiry.
  std::set<std::pair<Instant, std::uint64_t>> mTombstonesByExpiry;
  std::size_t mAnswerBytes = 0;
};

} // namespace heatherfork::detail
