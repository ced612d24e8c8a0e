#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "heatherfork/request.h"

/// Records that a home keeps of requests that must not repeat.
namespace heatherfork::detail {

/// A request key, qualified by its workspace.
struct WorkspaceKey
{
  WorkspaceName mWorkspace;
  RequestKey mKey;

  auto operator<=>(const WorkspaceKey&) const = default;
};

/// The record of a request that must not repeat. It is kept from the first
/// acceptance until the key expires.
struct KeyRecord
{
  std::uint64_t mFingerprint = 0;
  Instant mExpires{};
  std::optional<Answer> mAnswer; ///< Not set while the request runs.

  auto operator<=>(const KeyRecord&) const = default;
};

/// Limits of `KeyRecords`.
struct KeyRecordLimits
{
  std::size_t mMaxRecords = 0;
  std::size_t mMaxTombstones = 0;
  std::size_t mMaxAnswerBytes = 0; ///< Over all records.
};

/// Records and tombstones by key. Records are dropped only after their key has
/// expired by this node's clock, and expired keys are refused by the same
/// clock. A repeated request whose record was dropped is therefore never run
/// as a new one.
class KeyRecords
{
public:
  /// The record of a key, or null. O(log n).
  const KeyRecord* Find(const WorkspaceKey& aKey) const;

  /// Whether the outcome "not run" was reported for this key. O(log n).
  bool HasTombstone(const WorkspaceKey& aKey) const;

  /// Adds a record. Returns false if the table is full or the key has a record
  /// already. O(log n).
  bool Open(const WorkspaceKey& aKey,
            const KeyRecord& aRecord,
            const KeyRecordLimits& aLimits);

  /// Sets the answer of an open record, or the error `kOutcomeUnknown` if the
  /// answer would exceed `mMaxAnswerBytes`. Returns the recorded answer.
  const Answer& Close(const WorkspaceKey& aKey,
                      const Answer& aAnswer,
                      const KeyRecordLimits& aLimits);

  /// Writes a tombstone and removes the record of the key, if there is one.
  /// Returns false if the limit of tombstones is reached.
  bool AddTombstone(const WorkspaceKey& aKey,
                    Instant aExpires,
                    const KeyRecordLimits& aLimits);

  /// Adds a record without checking the limit. Returns false if the key has a
  /// record already.
  bool Insert(const WorkspaceKey& aKey, const KeyRecord& aRecord);

  /// Drops expired records and tombstones, except records of requests that
  /// still run.
  void DropExpired(Instant aNow);

  const std::map<WorkspaceKey, KeyRecord>& All() const { return mRecords; }
  std::size_t TombstoneCount() const { return mTombstones.size(); }

private:
  void Erase(const WorkspaceKey& aKey);

  std::map<WorkspaceKey, KeyRecord> mRecords;
  std::set<std::pair<Instant, WorkspaceKey>> mByExpiry;
  std::map<std::uint64_t, Instant> mTombstones; ///< Expiry by hash of the key.
  std::set<std::pair<Instant, std::uint64_t>> mTombstonesByExpiry;
  std::size_t mAnswerBytes = 0;
};

} // namespace heatherfork::detail
