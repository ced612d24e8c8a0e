#pragma once

#include <condition_variable>
#include <mutex>
#include <string>

#include <Poco/JSON/Object.h>

/// Fault injection for running stand-ins.
namespace heatherfork::stand_in {

/// The active faults. A default value means no fault.
struct Faults
{
  bool mIsDown = false;           ///< Close every connection without an answer.
  bool mIsFrozen = false;         ///< Run calls but withhold their answers.
  bool mStallsTransfers = false;  ///< Transfers make no progress.
  bool mIsHeadStale = false;      ///< Keep serving the current head.
  bool mClosesUnanswered = false; ///< Run a call and close its connection.
  bool mClosesKeptAlive = false;  ///< The same, except for the first call
                                  ///< of each connection.
  double mSlowdownFactor = 1;     ///< Factor on every duration.
  int mCutAfterTokens = 0;        ///< Truncate each stream after this many
                                  ///< tokens; 0 for never.
  int mAnswerDelayMs = 0;         ///< Delay of each answer.
  int mFailStatus = 0;            ///< Answer with this status; 0 for none.
  std::string mCrashMarker;       ///< Exit on a prompt that contains this.

  auto operator<=>(const Faults&) const = default;
};

/// Returns the faults with the changes of a control call's body applied.
Faults
WithChanges(Faults aFaults, const Poco::JSON::Object& aChanges);

/// The active faults of one stand-in. Thread-safe.
class FaultSwitch
{
public:
  Faults Current() const;
  void Apply(const Poco::JSON::Object& aChanges);

  /// Blocks while answers are frozen.
  void WaitWhileFrozen() const;
  /// Blocks while transfers are stalled.
  void WaitWhileStalled() const;

private:
  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  Faults mFaults;
};

} // namespace heatherfork::stand_in
