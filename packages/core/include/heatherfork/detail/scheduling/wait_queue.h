#pragma once

#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "heatherfork/detail/scheduling/wait_policy.h"
#include "heatherfork/peer_message.h"

/// Queue of requests that wait for placement.
namespace heatherfork::detail {

/// A queued request.
struct QueuedRequest
{
  NodeId mFrom;
  PlaceRequest mPlace;
  RemainingWork mRemaining;
  PublishedOrder mPublished;
  double mCost = 0; ///< Counts towards the share of the workspace.
  int mPieces = 0;
  Instant mArrivedAt{};
  Stage mStage = Stage::kPatient;
};

/// Orders requests by rank, weighted share of the workspace, stage and time.
class WaitQueue
{
public:
  using Entries = std::map<AttemptId, QueuedRequest>;

  void Push(QueuedRequest aRequest);
  void SetStage(const AttemptId& aAttempt, Stage aStage);

  /// Removes a request that gets a place. Its workspace is charged.
  QueuedRequest Take(const AttemptId& aAttempt);

  /// Removes a request that ends without a place.
  bool Remove(const AttemptId& aAttempt);

  bool Contains(const AttemptId& aAttempt) const;
  const QueuedRequest& At(const AttemptId& aAttempt) const;
  const Entries& All() const { return mEntries; }
  std::size_t Size() const { return mEntries.size(); }

  using Filter = std::function<bool(const QueuedRequest&)>;

  /// The first requests that aIsEligible returns true for, in the order in
  /// which they get places.
  std::vector<AttemptId> First(std::size_t aCount,
                               const Filter& aIsEligible) const;

  /// All requests in the order of latest starts, within ranks and shares.
  std::vector<AttemptId> ByTime() const;

  /// Returns the first request that must run in isolation, or null.
  const AttemptId* FirstIsolated() const;

private:
  using StageKey = std::tuple<Stage, Instant, AttemptId>;
  using TimeKey = std::tuple<Instant, AttemptId>;

  /// Requests of one rank and workspace.
  struct Line
  {
    std::set<StageKey> mByStage;
    std::set<TimeKey> mByTime;
  };
  using Lines = std::map<WorkspaceName, Line>;

  static StageKey StageKeyOf(const QueuedRequest& aRequest);
  static TimeKey TimeKeyOf(const QueuedRequest& aRequest);

  template<class Key>
  std::vector<AttemptId> InOrder(std::set<Key> Line::*aOrder,
                                 std::size_t aCount,
                                 const Filter& aIsEligible) const;
  void Erase(const QueuedRequest& aRequest);
  double VirtualStart(const WorkspaceName& aWorkspace) const;

  Entries mEntries;
  std::map<int, Lines> mLinesByRank;
  std::set<std::tuple<int, Instant, AttemptId>> mIsolated;
  std::map<WorkspaceName, double> mVirtualFinishes; ///< Of its last request.
  double mVirtualTime = 0;
};

} // namespace heatherfork::detail
