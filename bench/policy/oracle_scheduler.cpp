#include "oracle_scheduler.h"

#include <algorithm>

#include "heatherfork/detail/scheduling/pieces.h"

#include "engine_model.h"

namespace heatherfork::bench {

namespace {

constexpr double kFirstTokenTargetMicros = 940000;
constexpr double kTokenTargetMicros = 55000;
/// Upper bound of the total latency of an attempt's messages, including those
/// to the caller.
constexpr double kMaxMessageLatencyMicros = 9000;
constexpr Duration kDispatchLead = Milliseconds(4);
/// Slots of a server that only on-time requests may use.
constexpr int kReservedSlots = 1;
constexpr std::size_t kLookahead = 64;

template<class Map>
int
At(const Map& aMap, const ServerName& aName)
{
  const auto it = aMap.find(aName);
  return it == aMap.end() ? 0 : it->second;
}

bool
Serves(const Pool& aPool, const PlaceRequest& aPlace)
{
  return aPlace.mKind == RequestKind::kPlainCall
           ? aPool.mService == aPlace.mService
           : aPool.mModel == aPlace.mModel;
}

} // namespace

OracleScheduler::OracleScheduler(const Fleet& aFleet)
  : mFleet(aFleet)
{
}

void
OracleScheduler::On(detail::Context& aContext,
                    const NodeId& aFrom,
                    const PlaceRequest& aPlace)
{
  const QueueRank rank =
    aPlace.mMayWait ? QueueRank::kMayWait : QueueRank::kOnTime;
  const Key key{ rank, aContext.mNow, aPlace.mAttempt };
  mQueue[key] = QueuedRequest{ aFrom, aPlace };
  aContext.Send(aFrom, PlacementQueued{ aPlace.mAttempt });
  Dispatch(aContext);
}

void
OracleScheduler::On(detail::Context& aContext,
                    const NodeId&,
                    const PlacementProgress& aProgress)
{
  const auto it = mReservations.find(aProgress.mAttempt);
  if (it != mReservations.end() &&
      aProgress.mStep == PlacementStep::kPrefilled) {
    mPendingPrefills[it->second.mPrefill].erase(aProgress.mAttempt);
  }
  Dispatch(aContext);
}

void
OracleScheduler::On(detail::Context& aContext,
                    const NodeId&,
                    const PlacementEnded& aEnded)
{
  std::erase_if(mQueue, [&](const auto& aItem) {
    return aItem.first.mAttempt == aEnded.mAttempt;
  });
  const auto it = mReservations.find(aEnded.mAttempt);
  if (it != mReservations.end()) {
    mPendingPrefills[it->second.mPrefill].erase(aEnded.mAttempt);
    --mRunning[it->second.mServer];
    mPieces[it->second.mServer] -= it->second.mPieces;
    mReservations.erase(it);
  }
  Dispatch(aContext);
}

void
OracleScheduler::On(detail::Context& aContext, const TimerFired&)
{
  Dispatch(aContext);
}

void
OracleScheduler::Dispatch(detail::Context& aContext)
{
  mQueuedWork.clear();
  std::vector<Key> keys;
  for (const auto& [key, queued] : mQueue) {
    if (keys.size() == kLookahead) {
      break;
    }
    keys.push_back(key);
  }
  for (const Key& key : keys) {
    const PlaceRequest& place = mQueue.at(key).mPlace;
    const PlacementChoice choice = FindPlacement(aContext, place, key.mRank);
    const Instant due =
      key.mArrivedAt +
      MicrosToDuration(kFirstTokenTargetMicros - kMaxMessageLatencyMicros);
    const Instant earliestFirstToken =
      choice.mServer == nullptr
        ? aContext.mNow + MicrosToDuration(PrefillMicros(place.mPromptTokens))
        : choice.mFirstTokenAt;
    const bool isOnTime =
      key.mRank == QueueRank::kOnTime || key.mRank == QueueRank::kMayWait;
    if (isOnTime && earliestFirstToken > due) {
      auto entry = mQueue.extract(key);
      entry.key().mRank =
        place.mMayWait ? QueueRank::kLateMayWait : QueueRank::kLate;
      mQueue.insert(std::move(entry));
      continue;
    }
    if (choice.mServer == nullptr) {
      continue;
    }
    if (choice.mStartAt <= aContext.mNow + kDispatchLead) {
      Commit(aContext, key, choice);
    } else {
      mQueuedWork[choice.mPrefill->mName] +=
        MicrosToDuration(choice.mPrefillMicros);
    }
  }
}

OracleScheduler::PlacementChoice
OracleScheduler::FindPlacement(const detail::Context& aContext,
                               const PlaceRequest& aPlace,
                               QueueRank aRank) const
{
  PlacementChoice best;
  const bool isPlain = aPlace.mKind == RequestKind::kPlainCall;
  const int pieces = isPlain
                       ? 0
                       : detail::PiecesFor(aContext.mConfiguration->mLimits,
                                           aPlace.mPromptTokens,
                                           aPlace.mMaxTokens);
  for (const Pool& pool : aContext.mConfiguration->mPools) {
    if (!Serves(pool, aPlace)) {
      continue;
    }
    for (const BackendServer& server : pool.mServers) {
      if (server.mRole == Role::kPrefill || !HasRoom(server, pieces, aRank)) {
        continue;
      }
      const FakeServer& fakeServer = mFleet.ServerAt(server.mName);
      const int running = At(mRunning, server.mName);
      if (isPlain) {
        // At equal speed, fewer running calls win.
        const Instant at =
          aContext.mNow +
          MicrosToDuration(kPlainCallMicros * fakeServer.Slowness() + running);
        if (best.mServer == nullptr || at < best.mFirstTokenAt) {
          best = PlacementChoice{ nullptr, &server, aContext.mNow, at, 0 };
        }
        continue;
      }
      const Duration step = MicrosToDuration(
        1.5 * DecodeStepMicros(running + 1) * fakeServer.Slowness());
      for (const BackendServer& prefillServer : pool.mServers) {
        const FakeServer& fakePrefill = mFleet.ServerAt(prefillServer.mName);
        if (prefillServer.mRole != Role::kPrefill || fakePrefill.IsDown()) {
          continue;
        }
        const auto& prefill = static_cast<const FakePrefill&>(fakePrefill);
        const Instant start = PrefillFreeAt(aContext.mNow, prefill);
        const double workMicros =
          PrefillMicros(UncachedPromptTokens(prefill, aPlace));
        const Instant done =
          start + MicrosToDuration(workMicros * prefill.Slowness());
        const Instant arrived = mFleet.GetLinks()
                                  .EstimateTransfer(done,
                                                    prefillServer.mName,
                                                    prefillServer.mZone,
                                                    server.mZone,
                                                    aPlace.mPromptTokens)
                                  .mEndsAt;
        if (best.mServer == nullptr || arrived + step < best.mFirstTokenAt) {
          best = PlacementChoice{
            &prefillServer, &server, start, arrived + step, workMicros
          };
        }
      }
    }
  }
  return best;
}

bool
OracleScheduler::HasRoom(const BackendServer& aServer,
                         int aPieces,
                         QueueRank aRank) const
{
  const FakeServer& fakeServer = mFleet.ServerAt(aServer.mName);
  const int running = At(mRunning, aServer.mName);
  if (fakeServer.IsDown() ||
      aServer.mPieces - At(mPieces, aServer.mName) < aPieces) {
    return false;
  }
  const int headroom = aRank == QueueRank::kOnTime ? 0 : kReservedSlots;
  if (running + headroom >= aServer.mSlots) {
    return false;
  }
  return aServer.mRole == Role::kPlain ||
         DecodeStepMicros(running + 1 + headroom) * fakeServer.Slowness() <=
           kTokenTargetMicros;
}

Instant
OracleScheduler::PrefillFreeAt(Instant aNow, const FakePrefill& aPrefill) const
{
  const ServerName& name = aPrefill.Server().mName;
  Duration backlog = aPrefill.Backlog();
  const auto pending = mPendingPrefills.find(name);
  if (pending != mPendingPrefills.end()) {
    for (const auto& [attempt, work] : pending->second) {
      if (!aPrefill.HasReceived(attempt)) {
        backlog += MicrosToDuration(work * aPrefill.Slowness());
      }
    }
  }
  const auto queuedWork = mQueuedWork.find(name);
  if (queuedWork != mQueuedWork.end()) {
    backlog += MicrosToDuration(
      static_cast<double>(queuedWork->second.count()) * aPrefill.Slowness());
  }
  return aNow + backlog;
}

int
OracleScheduler::UncachedPromptTokens(const FakePrefill& aPrefill,
                                      const PlaceRequest& aPlace) const
{
  const int prefix =
    aPlace.mPrefixes.empty() ? 0 : mFleet.PrefixOf(aPlace.mPrefixes.front());
  const int cached =
    prefix != 0 && aPrefill.HasPrefix(prefix) ? PrefixTokens(prefix) : 0;
  return aPlace.mPromptTokens - cached;
}

void
OracleScheduler::Commit(detail::Context& aContext,
                        const Key& aKey,
                        const PlacementChoice& aChoice)
{
  const QueuedRequest queued = mQueue.at(aKey);
  mQueue.erase(aKey);
  Reservation reservation;
  reservation.mServer = aChoice.mServer->mName;
  reservation.mPrefillMicros = aChoice.mPrefillMicros;
  if (aChoice.mPrefill != nullptr) {
    reservation.mPrefill = aChoice.mPrefill->mName;
    reservation.mPieces = detail::PiecesFor(aContext.mConfiguration->mLimits,
                                            queued.mPlace.mPromptTokens,
                                            queued.mPlace.mMaxTokens);
    mPendingPrefills[reservation.mPrefill][aKey.mAttempt] =
      reservation.mPrefillMicros;
  }
  ++mRunning[reservation.mServer];
  mPieces[reservation.mServer] += reservation.mPieces;
  aContext.Send(
    queued.mFrom,
    Placed{ aKey.mAttempt, reservation.mPrefill, reservation.mServer });
  mReservations[aKey.mAttempt] = reservation;
}

} // namespace heatherfork::bench
