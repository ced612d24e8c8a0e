#pragma once

#include <map>
#include <set>

#include "heatherfork/peer_message.h"

/// Queue of requests that wait for placement.
namespace heatherfork::detail {

/// Service order; lower values go first.
enum class Lane : std::uint8_t
{
  kInTime,       ///< Can still meet its target.
  kDeferred,     ///< Deferrable or retried, or has missed its target.
  kLateDeferred, ///< Deferrable, target missed; more delay costs little.
};

/// A queued request.
struct QueuedRequest
{
  NodeId mFrom;
  PlaceRequest mPlace;
  int mPriority = 0;
  Instant mArrivedAt{};
  Instant mTargetAt{};    ///< When its first token is due.
  bool mIsUrgent = false; ///< Promoted after a long wait; not demoted again.
  std::uint64_t mPlacedBefore = 0; ///< In-time placements before its arrival.
};

/// Orders requests by lane, class priority, weighted share of the workspace and
/// deadline.
class WaitQueue
{
public:
  struct Key
  {
    Lane mLane = Lane::kInTime;
    int mNegatedPriority = 0;
    double mVirtualStart = 0; ///< Start time in fair queueing.
    Instant mDeadline{};
    AttemptId mAttempt;
    auto operator<=>(const Key&) const = default;
  };
  using Entries = std::map<Key, QueuedRequest>;

  /// aCost is the predicted work of the request; aWeight is the weight of its
  /// workspace.
  void Push(Lane aLane, QueuedRequest aRequest, double aCost, double aWeight);

  void Move(const Key& aKey, Lane aLane);

  /// Promotes a long-waiting request to the front of the deferrable requests.
  void MakeUrgent(const Key& aKey);

  /// Removes a request and advances the virtual time to its start.
  QueuedRequest Take(const Key& aKey);

  bool Contains(const AttemptId& aAttempt) const;
  bool Remove(const AttemptId& aAttempt);

  const Entries& All() const { return mEntries; }

  /// Returns the first request that must run in isolation, or null.
  const Key* FirstIsolated() const;
  std::size_t Size() const { return mEntries.size(); }

private:
  void ChangeKey(const Key& aOld, const Key& aNew);
  void EraseIndexes(const Key& aKey);

  Entries mEntries;
  std::map<AttemptId, Key> mKeys;
  std::set<Key> mIsolated;
  std::map<WorkspaceName, double> mVirtualFinishes; ///< Of its last request.
  double mVirtualTime = 0;
};

} // namespace heatherfork::detail
