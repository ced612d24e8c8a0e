#pragma once

#include <map>

#include "heatherfork/detail/scheduling/scheduler.h"

#include "fleet.h"

/// A scheduler with complete knowledge of the present state, as an upper bound.
namespace heatherfork::bench {

/// Reads the current speed, backlog and cache of every server and the state of
/// all links without delay, and keeps all requests of the fleet in one queue.
/// It does not know the future: neither the length of an answer nor when a
/// fault begins or ends.
class OracleScheduler final : public detail::Scheduler
{
public:
  explicit OracleScheduler(const Fleet& aFleet);

  void On(detail::Context& aContext,
          const NodeId& aFrom,
          const PlaceRequest& aPlace) override;
  void On(detail::Context& aContext,
          const NodeId& aFrom,
          const PlacementProgress& aProgress) override;
  void On(detail::Context& aContext,
          const NodeId& aFrom,
          const PlacementEnded& aEnded) override;
  void On(detail::Context&, const ReportReceived&) override {}
  void On(detail::Context& aContext, const TimerFired& aTimer) override;
  void OnNodeGone(detail::Context&, const NodeId&) override {}

private:
  enum class QueueRank : std::uint8_t
  {
    kOnTime,
    kLate,    ///< Misses its target and may not wait.
    kMayWait, ///< On time.
    kLateMayWait,
  };

  /// Orders the queue by rank, then by arrival.
  struct Key
  {
    QueueRank mRank = QueueRank::kOnTime;
    Instant mArrivedAt{};
    AttemptId mAttempt;
    auto operator<=>(const Key&) const = default;
  };
  struct QueuedRequest
  {
    NodeId mFrom;
    PlaceRequest mPlace;
  };
  struct Reservation
  {
    ServerName mPrefill;
    ServerName mServer;
    int mPieces = 0;
    double mPrefillMicros = 0; ///< At normal speed.
    bool mPrefilled = false;
  };
  struct PlacementChoice
  {
    const BackendServer* mPrefill = nullptr;
    const BackendServer* mServer = nullptr;
    Instant mStartAt{};
    Instant mFirstTokenAt{};
    double mPrefillMicros = 0;
  };

  void Dispatch(detail::Context& aContext);
  PlacementChoice FindPlacement(const detail::Context& aContext,
                                const PlaceRequest& aPlace,
                                QueueRank aRank) const;
  bool HasRoom(const BackendServer& aServer,
               int aPieces,
               QueueRank aRank) const;
  Instant PrefillFreeAt(Instant aNow, const FakePrefill& aPrefill) const;
  int UncachedPromptTokens(const FakePrefill& aPrefill,
                           const PlaceRequest& aPlace) const;
  void Commit(detail::Context& aContext,
              const Key& aKey,
              const PlacementChoice& aChoice);

  const Fleet& mFleet;
  std::map<Key, QueuedRequest> mQueue;
  std::map<AttemptId, Reservation> mReservations;
  std::map<ServerName, int> mRunning;
  std::map<ServerName, int> mPieces;
  std::map<ServerName, std::map<AttemptId, double>> mPendingPrefills;
  std::map<ServerName, Duration>
    mQueuedWork; ///< Prefill time of requests that stay queued.
};

} // namespace heatherfork::bench
