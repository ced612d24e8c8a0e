#pragma once

#include <map>
#include <set>

#include "heatherfork/peer_message.h"

/// Requests that wait for a place, in the order in which they get one.
namespace heatherfork::detail {

/// What is served first.
enum class Lane : std::uint8_t
{
  kInTime,  ///< Can still meet its targets.
  kWaiting, ///< May wait, or can't meet its targets any more.
  kLate,    ///< May wait and has waited: it is not hurt by some more.
};

/// A request that waits.
struct Waiting
{
  NodeId mFrom;
  PlaceRequest mPlace;
  int mPriority = 0;
  Instant mArrivedAt{};
  Instant mTargetAt{};    ///< When its first token is due.
  bool mIsUrgent = false; ///< Has waited for long: is not put off again.
};

/// Orders by lane, class priority, the workspace's weighted share and deadline.
class WaitQueue
{
public:
  /// Position in the queue.
  struct Key
  {
    Lane mLane = Lane::kInTime;
    int mLowPriority = 0; ///< Priority, negated.
    double mStart = 0;    ///< Virtual start time of the workspace's share.
    Instant mDeadline{};
    AttemptId mAttempt;
    auto operator<=>(const Key&) const = default;
  };
  using Entries = std::map<Key, Waiting>;

  /// aCost is the work that the request asks for, aWeight its workspace's.
  void Push(Lane aLane, Waiting aWaiting, double aCost, double aWeight);

  void Move(const Key& aKey, Lane aLane);

  /// Moves a request that has waited for long to the front of those that may
  /// wait.
  void MakeUrgent(const Key& aKey);

  /// Removes a request and moves the virtual time on to it.
  Waiting Take(const Key& aKey);

  bool Contains(const AttemptId& aAttempt) const;
  bool Remove(const AttemptId& aAttempt);

  const Entries& All() const { return mEntries; }

  /// The first that has to run alone; null when there is none.
  const Key* FirstIsolated() const;
  std::size_t Size() const { return mEntries.size(); }

private:
  /// Gives an entry another key.
  void Rekey(const Key& aOld, const Key& aNew);
  void Forget(const Key& aKey);

  Entries mEntries;
  std::map<AttemptId, Key> mKeys;
  std::set<Key> mIsolated;
  std::map<WorkspaceName, double> mFinish; ///< Virtual end of the last request.
  double mVirtualNow = 0;
};

} // namespace heatherfork::detail
