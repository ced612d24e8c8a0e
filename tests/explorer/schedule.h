#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "heatherfork/time.h"

/// Random schedules of callers' requests and faults for one simulation run.
namespace heatherfork::explorer {

inline constexpr int kNodes = 3;

enum class FaultKind : std::uint8_t
{
  kKill,   ///< The node is killed and restarts in a new incarnation.
  kFreeze, ///< The node is suspended, then resumes.
  kFreezeBeforeExecution, ///< Suspended after it decided on effects, before it
                          ///< executes them.
  kDropMessages,          ///< Messages between two nodes are lost.
  kDelayMessages, ///< Messages between two nodes arrive late and out of order.
  kDuplicateMessages, ///< Messages between two nodes arrive twice.
  kBreakCalls,        ///< Backend servers run calls; their answers are lost.
  kRefuseCalls,       ///< Backend servers can't be reached.
  kDelayReplies,      ///< Backend servers answer late.
  kRepeatReplies,     ///< Backend servers answer twice.
  kEngineRestart, ///< An engine restarts: it loses its memory, its calls fail.
  kStop,          ///< A planned stop of the node.
};

inline constexpr int kFaultKinds = 12;

struct Fault
{
  FaultKind mKind = FaultKind::kKill;
  Duration mStartOffset{};
  Duration mDuration{};
  int mNode = 0;
  int mTarget = 0; ///< Index of the second node or number of the engine.

  auto operator<=>(const Fault&) const = default;
};

enum class PlannedRequestKind : std::uint8_t
{
  kReserve, ///< A plain call that must not repeat.
  kLookup,  ///< A repeatable plain call.
  kChat,    ///< A streamed completion.
  kSummary, ///< A completion with a key that may wait.
};

inline constexpr int kPlannedRequestKinds = 4;

/// A planned transmission of a request to a node.
struct Transmission
{
  Duration mStartOffset{};
  int mNode = 0;
  bool mKeepsPreviousOpen = false; ///< Earlier exchanges are not closed.
  auto operator<=>(const Transmission&) const = default;
};

/// One request. The node of the first transmission is its home.
struct PlannedRequest
{
  PlannedRequestKind mKind = PlannedRequestKind::kReserve;
  Duration mDeadline{};
  std::vector<Transmission> mTransmissions;
  auto operator<=>(const PlannedRequest&) const = default;
};

struct Schedule
{
  std::uint64_t mSeed = 0;
  std::vector<PlannedRequest> mPlannedRequests;
  std::vector<Fault> mFaults;
  auto operator<=>(const Schedule&) const = default;
};

/// Generates a schedule. Equal seeds give equal schedules.
Schedule
GenerateSchedule(std::uint64_t aSeed);

/// Formats a schedule with one line per request and fault.
std::string
Describe(const Schedule& aSchedule);

} // namespace heatherfork::explorer
