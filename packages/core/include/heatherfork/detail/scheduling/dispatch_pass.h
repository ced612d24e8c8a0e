#pragma once

#include <vector>

#include "heatherfork/detail/scheduling/capacity_forecast.h"
#include "heatherfork/detail/scheduling/prefix_hints.h"
#include "heatherfork/detail/scheduling/server_state.h"
#include "heatherfork/detail/scheduling/time_model.h"
#include "heatherfork/detail/scheduling/wait_queue.h"

/// Selects servers for queued requests from one snapshot of a shard.
namespace heatherfork::detail {

/// The servers selected for a request and the predicted times.
struct Choice
{
  ServerStatePtr mPrefill; ///< Null for a plain call.
  ServerStatePtr mServer;
  Duration mWork{}; ///< Predicted prefill time at a server of normal speed.
  int mCachedTokens = 0; ///< Prompt tokens expected in the prefix cache.
  Instant mStartAt{};    ///< Predicted start of the prefill or the plain call.
  Instant mFirstTokenAt{};
};

/// Works on a snapshot of the server states, which must outlive the pass. A
/// request that stays queued for a busy prefill server also claims its servers,
/// so that later requests in the same pass see that capacity as taken.
class DispatchPass
{
public:
  DispatchPass(const std::vector<ServerStatePtr>& aServers,
               const TimeModel& aModel,
               const PrefixHints& aHints,
               const SchedulingSettings& aSettings,
               double aLimitShare,
               Instant aNow);

  /// Prefers servers that meet the target, then the earliest first token; for a
  /// plain call the lowest load. A decode or plain server that is due for a
  /// probe takes precedence. mServer is null when no server has capacity.
  Choice Find(const QueuedRequest& aRequest) const;

  /// Reserves the capacity of a choice for the rest of this pass.
  void Claim(const Choice& aChoice, int aPieces);

  /// Keeps the decode server with the most free pieces from later requests of
  /// this pass, so that its memory becomes free for aRequest. Has an effect
  /// once per pass and only where memory is what aRequest lacks.
  void KeepMemoryFor(const QueuedRequest& aRequest);

  /// Capacity of all servers that take work.
  CapacityForecast Capacity() const;

private:
  struct PrefillView
  {
    const ServerStatePtr* mState = nullptr;
    Instant mFreeAt{};
    double mSlowness = 1;
    double mRememberedSlowness = 1;
    std::size_t mZone = 0;
    int mRequestsAllowed = 0; ///< By the limit that the server names.
  };
  /// A decode server or a replica of a plain service.
  struct DecodeView
  {
    const ServerStatePtr* mState = nullptr;
    int mRunning = 0;
    int mFreePieces = 0;
    double mSlowness = 1;
    bool mIsEjected = false;
    bool mCanProbe = false;
    std::size_t mZone = 0;
    int mRequestsAllowed = 0; ///< By the limit that the server names.
    bool mIsKept = false;     ///< For a request that needs more memory.
  };

  void AddServer(const ServerStatePtr& aServer);
  void EjectSlowServers();
  std::size_t ZoneIndex(const ZoneName& aZone);
  void AddLinks();
  int BatchLimit(const DecodeView& aView) const;
  bool HasCapacity(const DecodeView& aView,
                   int aPieces,
                   bool aMayUseEjected) const;
  static void KeepSuspectsApart(std::vector<const DecodeView*>& aCandidates);
  struct ServerPair
  {
    const PrefillView* mPrefill = nullptr;
    const DecodeView* mDecode = nullptr;
    Duration mWork{};
    int mCachedTokens = 0;
    Instant mFirstTokenAt{};
  };

  ServerPair BestPairFor(const PrefillView& aPrefill,
                         const std::vector<const DecodeView*>& aCandidates,
                         int aPromptTokens,
                         int aCachedTokens) const;
  Choice FindPlain(const std::vector<const DecodeView*>& aCandidates) const;
  bool IsInTime(const ServerPair& aPair, const QueuedRequest& aRequest) const;

  const TimeModel& mModel;
  const PrefixHints& mHints;
  const SchedulingSettings& mSettings;
  double mLimitShare = 1; ///< This node's part of each limit.
  Instant mNow{};
  std::vector<PrefillView> mPrefill;
  std::vector<DecodeView> mDecode;
  std::vector<ZoneName> mZones;
  std::vector<double> mLinkSlowness; ///< Matrix of prefill zone by decode zone.
  bool mHasKept = false;
};

} // namespace heatherfork::detail
