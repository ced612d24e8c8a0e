#pragma once

#include <cstddef>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "heatherfork/trace.h"

/// Replays recorded traces through the reducer.
namespace heatherfork {

/// One difference between a trace and its replay.
struct ReplayMismatch
{
  std::size_t mLine = 0; ///< Counted from 1.
  std::string mText;     ///< The expected and the actual value.

  auto operator<=>(const ReplayMismatch&) const = default;
};

/// The result of a replay.
struct ReplayReport
{
  std::size_t mEventCount = 0;
  std::size_t mEffectCount = 0;  ///< Effects that were compared.
  std::size_t mOutcomeCount = 0; ///< Expected outcomes that were checked.
  std::vector<ReplayMismatch> mMismatches;

  auto operator<=>(const ReplayReport&) const = default;
};

/// Feeds the events of a trace to one reducer for each incarnation of a node.
/// Compares the effects if the trace has them, and checks the expected outcomes
/// at the end.
class Replay
{
public:
  Replay();
  Replay(const Replay&) = delete;
  Replay& operator=(const Replay&) = delete;
  ~Replay();

  /// Processes the next line. Returns InvalidArgument for a line before the
  /// header, a second or unsupported header, or an event of a node that has not
  /// started.
  absl::Status Feed(const TraceLine& aLine);

  /// Checks the outcomes. Call it once, after the last line.
  ReplayReport Finish();

private:
  class State;
  std::unique_ptr<State> mState;
};

/// Replays a trace. Returns InvalidArgument with the line number if a line is
/// malformed, too long or not allowed at its position.
absl::StatusOr<ReplayReport>
ReplayTrace(std::istream& aTrace);

/// Replays a file and prints the result. Returns an exit code: 0 without
/// mismatches, 1 with mismatches, 2 if the file is missing or malformed.
int
RunReplay(const std::string& aPath, std::ostream& aOutput);

} // namespace heatherfork
