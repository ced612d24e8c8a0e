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

/// Recorded traces: JSON lines of what nodes met, did, and had to do.
namespace heatherfork {

/// A line of a trace is at most this long, in bytes.
inline constexpr std::size_t kMaxTraceLineBytes = 8UL * 1024UL * 1024UL;

/// The first line.
struct TraceHeader
{
  int mVersion = 1;
  /// Whether the effects were recorded and must come again.
  bool mHasEffects = false;
  auto operator<=>(const TraceHeader&) const = default;
};

/// A node starts, or starts again in a new incarnation.
struct NodeStarted
{
  NodeSettings mSettings;
  auto operator<=>(const NodeStarted&) const = default;
};

/// A node met an event.
struct EventRecorded
{
  NodeName mNode;
  Instant mAt{};
  EventBody mBody;
  auto operator<=>(const EventRecorded&) const = default;
};

/// The node's next effect upon its last event.
struct EffectRecorded
{
  NodeName mNode;
  Effect mEffect;
  auto operator<=>(const EffectRecorded&) const = default;
};

/// Outcome: the calls that may have reached backend servers for a key.
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
  std::string mError;   ///< The identifier, when not mOk; empty for any.
  std::string mOutcome; ///< "not-run" and so on; empty for any.
  std::string mBody;    ///< The body, when mOk; empty for any.
  auto operator<=>(const AnswerExpected&) const = default;
};

/// Outcome: a caller was never answered.
struct NoAnswerExpected
{
  NodeId mNode;
  CallerId mCaller = 0;
  auto operator<=>(const NoAnswerExpected&) const = default;
};

/// Outcome: no caller was answered twice, and no "not run" was said for a
/// request with a home that a backend server may have seen, then or later.
struct TruthExpected
{
  auto operator<=>(const TruthExpected&) const = default;
};

/// Outcome: what was reserved or prefilled is ended or cancelled.
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
                               TruthExpected,
                               MemoryFreeExpected>;

/// One line of JSON, without the line end. Linear.
std::string
FormatTraceLine(const TraceLine& aLine);

/// Reads one line; InvalidArgument says where and what was expected. Linear.
absl::StatusOr<TraceLine>
ParseTraceLine(std::string_view aText);

/// Writes the trace of one node while it runs.
class TraceWriter
{
public:
  /// Writes the header and the node's settings. The stream outlives this.
  TraceWriter(std::ostream& aStream, const NodeSettings& aSettings);

  /// Writes an event and what followed from it.
  void Write(const Event& aEvent, const Effects& aEffects);

private:
  std::ostream& mStream;
  NodeName mNode;
};

} // namespace heatherfork
