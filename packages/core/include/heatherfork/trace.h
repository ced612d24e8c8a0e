#pragma once

#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>
#include <variant>

#include <absl/status/statusor.h>

#include "heatherfork/effect.h"
#include "heatherfork/event.h"
#include "heatherfork/node_settings.h"

/// Traces: JSON lines with the events of nodes, their effects and the expected
/// outcomes.
namespace heatherfork {

/// Maximum length of a trace line in bytes.
inline constexpr std::size_t kMaxTraceLineBytes = 8UL * 1024UL * 1024UL;

/// The first line of a trace.
struct TraceHeader
{
  int mVersion = 1;
  /// True if the trace has all effects and a replay must produce the same ones.
  bool mHasEffects = false;
  auto operator<=>(const TraceHeader&) const = default;
};

/// A node starts, or restarts with a new incarnation.
struct NodeStarted
{
  NodeSettings mSettings;
  auto operator<=>(const NodeStarted&) const = default;
};

/// An event that a node processed.
struct EventRecorded
{
  NodeName mNode;
  Instant mAt{};
  EventBody mBody;
  auto operator<=>(const EventRecorded&) const = default;
};

/// The next effect of the node's last event.
struct EffectRecorded
{
  NodeName mNode;
  Effect mEffect;
  auto operator<=>(const EffectRecorded&) const = default;
};

/// Outcome: bounds on the number of calls for a key that may have reached
/// backend servers.
struct ArrivalsExpected
{
  WorkspaceName mWorkspace;
  RequestKey mKey;
  int mAtLeast = 0;
  int mAtMost = 1;
  auto operator<=>(const ArrivalsExpected&) const = default;
};

/// Outcome: a caller was answered exactly once.
struct AnswerExpected
{
  NodeId mNode;
  CallerId mCaller = 0;
  bool mOk = false;
  std::string mError;   ///< Error identifier if not mOk; empty for any.
  std::string mOutcome; ///< Such as "not-run"; empty for any.
  std::string mBody;    ///< Body if mOk; empty for any.
  auto operator<=>(const AnswerExpected&) const = default;
};

/// Outcome: a caller was never answered.
struct NoAnswerExpected
{
  NodeId mNode;
  CallerId mCaller = 0;
  auto operator<=>(const NoAnswerExpected&) const = default;
};

/// Outcome: the invariants hold. No caller is answered twice or without a
/// request. No call that must not repeat may have run more than once, and none
/// is answered "not-run" if a backend server may have received it, before or
/// after the answer.
struct InvariantsExpected
{
  auto operator<=>(const InvariantsExpected&) const = default;
};

/// Outcome: all reserved and prefilled memory is released.
struct MemoryFreeExpected
{
  auto operator<=>(const MemoryFreeExpected&) const = default;
};

using TraceLine = std::variant<TraceHeader,
                               NodeStarted,
                               EventRecorded,
                               EffectRecorded,
                               ArrivalsExpected,
                               AnswerExpected,
                               NoAnswerExpected,
                               InvariantsExpected,
                               MemoryFreeExpected>;

/// Formats a line as JSON without a line break. Linear.
std::string
FormatTraceLine(const TraceLine& aLine);

/// Parses a line. Returns InvalidArgument with the path of the invalid field
/// and the expected value. Linear.
absl::StatusOr<TraceLine>
ParseTraceLine(std::string_view aText);

/// Writes the trace of one node while it runs.
class TraceWriter
{
public:
  /// Writes the header and the node's settings. The stream must outlive the
  /// writer.
  TraceWriter(std::ostream& aStream, const NodeSettings& aSettings);

  /// Writes an event and its effects.
  void Write(const Event& aEvent, const Effects& aEffects);

private:
  std::ostream& mStream;
  NodeName mNode;
};

} // namespace heatherfork
