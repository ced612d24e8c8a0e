#pragma once

#include <memory>
#include <vector>

#include "heatherfork/configuration.h"
#include "heatherfork/detail/scheduling/server_limiter.h"
#include "heatherfork/detail/scheduling/slowness.h"
#include "heatherfork/server_call.h"

/// The state of one backend server as seen by a shard's scheduler.
namespace heatherfork::detail {

/// A prefill, or the first decode step of a request, that is in progress.
struct PendingStep
{
  AttemptId mAttempt;
  Instant mPlacedAt{};
  Duration mWork{}; ///< Predicted duration at a server of normal speed.
};

/// Placed work and observed speed of one server.
class ServerState
{
public:
  ServerState(BackendServer aServer, Instant aKnownSince);

  const BackendServer& Server() const { return mServer; }
  void SetServer(BackendServer aServer) { mServer = std::move(aServer); }

  // Slots and KV-cache pieces of decode servers and plain services.
  void Hold(int aPieces);
  void Release(int aPieces);
  int HeldSlots() const { return mHeldSlots; }

  // Slots of requests whose content was running at a crash.
  void HoldSuspect() { ++mSuspects; }
  void ReleaseSuspect() { --mSuspects; }
  bool HasSuspects() const { return mSuspects > 0; }

  /// Number of running requests. During the takeover period, when requests
  /// placed by the previous scheduler may still run, a recent load report is
  /// used if it shows a higher load.
  int Running(Instant aNow, const SchedulingSettings& aSettings) const;
  int FreePieces(Instant aNow, const SchedulingSettings& aSettings) const;

  /// Counts the slots that are generating tokens (the batch).
  void BeginDecoding(Instant aNow);
  void EndDecoding(Instant aNow);
  int Decoding() const { return mDecoding; }

  /// Integral of the batch size over time, in microseconds.
  double BatchTime(Instant aNow) const;

  // Pending steps, processed in order.
  void AddPendingStep(const PendingStep& aStep);

  /// Removes a pending step. Returns the time since it reached the head of the
  /// queue, or zero for an unknown attempt.
  Duration EndPendingStep(Instant aNow, const AttemptId& aAttempt, bool aRan);
  std::size_t PendingSteps() const { return mPendingSteps.size(); }

  /// Time at which all pending steps are predicted to be complete.
  Instant FreeAt(Instant aNow, const SchedulingSettings& aSettings) const;

  // Health.
  Slowness& ObservedSlowness() { return mSlowness; }
  const Slowness& ObservedSlowness() const { return mSlowness; }

  /// Decayed slowness; an overdue pending step raises it immediately.
  double CurrentSlowness(Instant aNow,
                         const SchedulingSettings& aSettings) const;

  /// Last observed slowness, without decay while it is above the straggler
  /// threshold.
  double RememberedSlowness(Instant aNow,
                            const SchedulingSettings& aSettings) const;

  void RecordFailure(Instant aNow, const SchedulingSettings& aSettings);
  void RecordSuccess() { mFailures = 0; }
  bool IsBlocked(Instant aNow) const { return aNow < mBlockedUntil; }

  void RecordProbe(Instant aNow) { mProbedAt = aNow; }
  bool CanProbe(Instant aNow, const SchedulingSettings& aSettings) const;

  void RecordReport(const LoadReport& aReport) { mReport = aReport; }

  ServerLimiter& Limiter() { return mLimiter; }
  const ServerLimiter& Limiter() const { return mLimiter; }

  /// Set while the server is reserved for a crash suspect.
  bool mIsIsolated = false;

private:
  bool TrustsReport(Instant aNow, const SchedulingSettings& aSettings) const;
  double OverdueRatio(Instant aNow) const;

  BackendServer mServer;
  Instant mKnownSince{};
  int mHeldSlots = 0;
  int mHeldPieces = 0;
  int mSuspects = 0;
  int mDecoding = 0;
  double mBatchTime = 0;
  Instant mBatchChangedAt{};
  std::vector<PendingStep> mPendingSteps;
  Instant mStepEndedAt{};
  Slowness mSlowness;
  int mFailures = 0;
  Instant mBlockedUntil{};
  Instant mProbedAt{};
  LoadReport mReport;
  ServerLimiter mLimiter;
};

using ServerStatePtr = std::shared_ptr<ServerState>;

} // namespace heatherfork::detail
