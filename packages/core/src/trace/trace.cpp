#include "heatherfork/trace.h"

#include <ostream>

#include "heatherfork/detail/json/read.h"
#include "heatherfork/detail/json/write.h"
#include "heatherfork/detail/trace/decode.h"
#include "heatherfork/detail/trace/encode.h"
#include "heatherfork/detail/trace/trace_fields.h"

namespace heatherfork {

namespace {

constexpr int kMaxNestingDepth = 32;

std::string_view
Describe(detail::json::ReadError aError)
{
  using detail::json::ReadError;
  switch (aError) {
    case ReadError::kTooLarge:
      return "expected a shorter line";
    case ReadError::kTooDeep:
      return "expected at most 32 levels of objects and arrays";
    case ReadError::kMalformed:
      return "expected a JSON object";
  }
  return "";
}

} // namespace

std::string
FormatTraceLine(const TraceLine& aLine)
{
  return detail::json::Write(detail::trace::Encode(aLine));
}

absl::StatusOr<TraceLine>
ParseTraceLine(std::string_view aText)
{
  const auto read =
    detail::json::Read(aText, { kMaxTraceLineBytes, kMaxNestingDepth });
  if (const auto* error = std::get_if<detail::json::ReadError>(&read)) {
    return absl::InvalidArgumentError(detail::Concat(Describe(*error)));
  }
  TraceLine line;
  const absl::Status status = detail::trace::Decode(
    std::get<detail::json::Value>(read), std::string("line"), line);
  if (!status.ok()) {
    return status;
  }
  return line;
}

TraceWriter::TraceWriter(std::ostream& aStream, const NodeSettings& aSettings)
  : mStream(aStream)
  , mNode(aSettings.mSelf.mName)
{
  mStream << FormatTraceLine(TraceHeader{ 1, true }) << '\n'
          << FormatTraceLine(NodeStarted{ aSettings }) << '\n';
}

void
TraceWriter::Write(const Event& aEvent, const Effects& aEffects)
{
  mStream << FormatTraceLine(EventRecorded{ mNode, aEvent.mAt, aEvent.mBody })
          << '\n';
  for (const Effect& effect : aEffects) {
    mStream << FormatTraceLine(EffectRecorded{ mNode, effect }) << '\n';
  }
  mStream.flush();
}

} // namespace heatherfork
