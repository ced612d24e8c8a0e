#pragma once

#include <map>
#include <vector>

#include "fake_server.h"
#include "links.h"
#include "prefix_cache.h"
#include "workload.h"

/// Simulated prefill and decode engines and a simulated plain service.
namespace heatherfork::bench {

/// Finds the offered request of an attempt. Engines need it for properties that
/// calls do not carry, such as the output length.
class OfferLookup
{
public:
  virtual ~OfferLookup() = default;
  virtual const Offer* OfferOf(const AttemptId& aAttempt) const = 0;
};

/// Work that the engines did for one attempt.
struct AttemptMetrics
{
  int mPrefillTokens = 0;   ///< Computed tokens, without cached ones.
  Instant mPrefilledAt{};   ///< End or cancellation of the prefill.
  bool mHasDecoded = false; ///< At least one token was generated.
  Instant mLastTokenAt{};
  std::vector<Duration> mGaps; ///< Times between two tokens.
};

using EngineMetrics = std::map<AttemptId, AttemptMetrics>;

class FakeDecode;

/// Computes one prompt at a time, in order of priority.
class FakePrefill final : public FakeServer
{
public:
  FakePrefill(EventQueue& aQueue,
              BackendServer aServer,
              const OfferLookup& aOfferLookup,
              EngineMetrics& aMetrics,
              Links& aLinks);

  void Call(const CallServer& aCall, CallHandlers aHandlers) override;
  LoadReport Report() const override;
  void SetSlowness(double aSlowness) override;
  void SetDown(bool aIsDown) override;

  // Exact state, for OracleScheduler.
  int UncachedTokens(const Offer& aOffer) const;
  bool HasPrefix(int aPrefix) const { return mCache.Contains(aPrefix); }
  bool HasReceived(const AttemptId& aAttempt) const;

  /// Time until all queued prompts are computed at the current speed.
  Duration Backlog() const;

  void SetDecodeServers(std::map<Address, FakeDecode*> aDecodeServers);

private:
  struct Job
  {
    AttemptId mAttempt;
    int mPriority = 0;
    int mPromptTokens = 0;
    CallHandlers mHandlers;
  };

  void AddJob(const CallServer& aCall, CallHandlers aHandlers);
  void StartNextJob();
  void UpdateRemainingWork();
  void Schedule();
  void Finish();
  void Transfer(const CallServer& aCall, const CallHandlers& aHandlers);
  void Cancel(const AttemptId& aAttempt);

  const OfferLookup& mOfferLookup;
  EngineMetrics& mMetrics;
  Links& mLinks;
  std::map<Address, FakeDecode*> mDecodeServers;
  PrefixCache mCache;
  std::vector<Job> mJobs; ///< The first one is running if mIsRunning is set.
  bool mIsRunning = false;
  int mRunningTokens = 0;
  int mRunningCachedTokens = 0;
  double mRemainingMicros = 0;
  Instant mUpdatedAt{};
  std::uint64_t mScheduleNumber = 0; ///< Discards events of an older schedule.
  std::map<AttemptId, Instant> mResults; ///< Eviction time of each result.
  std::map<AttemptId, bool> mCancelledAttempts;
  std::map<AttemptId, bool> mReceived;
};

/// Generates one token per step for each request in its batch.
class FakeDecode final : public FakeServer
{
public:
  FakeDecode(EventQueue& aQueue,
             BackendServer aServer,
             const OfferLookup& aOfferLookup,
             EngineMetrics& aMetrics);

  void Call(const CallServer& aCall, CallHandlers aHandlers) override;
  LoadReport Report() const override;
  void SetDown(bool aIsDown) override;

  /// Accepts the KV cache of an attempt. False if the attempt has no
  /// reservation.
  bool Import(const AttemptId& aAttempt);
  int ReservationCount() const
  {
    return static_cast<int>(mReservations.size());
  }
  int FreePieces() const;

private:
  struct Reservation
  {
    int mPieces = 0;
    bool mIsImported = false;
    bool mIsDecoding = false;
    int mGeneratedTokens = 0;
    int mSentTokens = 0;
    int mTotalTokens = 0;
    CallHandlers mHandlers;
  };

  void Reserve(const CallServer& aCall, const CallHandlers& aHandlers);
  void Decode(const CallServer& aCall, CallHandlers aHandlers);
  void StartStep();
  void EndStep();
  void EndStep(const AttemptId& aAttempt, Reservation& aReservation);

  const OfferLookup& mOfferLookup;
  EngineMetrics& mMetrics;
  std::map<AttemptId, Reservation> mReservations;
  std::map<AttemptId, bool> mCancelledAttempts;
  bool mIsStepping = false;
  std::uint64_t mScheduleNumber = 0;
  std::vector<AttemptId> mBatch; ///< Attempts in the running step.
};

/// Answers plain calls concurrently.
class FakePlain final : public FakeServer
{
public:
  using FakeServer::FakeServer;

  void Call(const CallServer& aCall, CallHandlers aHandlers) override;
  LoadReport Report() const override;

private:
  int mRunning = 0;
};

} // namespace heatherfork::bench
