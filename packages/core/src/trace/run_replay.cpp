#include <fstream>
#include <istream>
#include <optional>
#include <ostream>

#include "heatherfork/detail/text.h"
#include "heatherfork/replay.h"

namespace heatherfork {

namespace {

constexpr int kExitMismatch = 1;
constexpr int kExitUnreadable = 2;

enum class LineStatus
{
  kLine,
  kEnd,
  kTooLong,
};

// Limits the line length, so that a file without line breaks can't exhaust
// memory.
LineStatus
ReadLine(std::istream& aStream, std::string& aText)
{
  aText.clear();
  for (int byte = aStream.get(); byte != std::istream::traits_type::eof();
       byte = aStream.get()) {
    if (byte == '\n') {
      return LineStatus::kLine;
    }
    if (aText.size() == kMaxTraceLineBytes) {
      return LineStatus::kTooLong;
    }
    aText += static_cast<char>(byte);
  }
  return aText.empty() ? LineStatus::kEnd : LineStatus::kLine;
}

absl::Status
ErrorAtLine(std::size_t aLine, std::string_view aMessage)
{
  return absl::InvalidArgumentError(
    detail::Concat("line ", aLine, ": ", aMessage));
}

} // namespace

absl::StatusOr<ReplayReport>
ReplayTrace(std::istream& aTrace)
{
  Replay replay;
  std::string text;
  std::size_t lineNumber = 0;
  for (LineStatus read = ReadLine(aTrace, text); read != LineStatus::kEnd;
       read = ReadLine(aTrace, text)) {
    ++lineNumber;
    if (read == LineStatus::kTooLong) {
      return ErrorAtLine(lineNumber, "expected a shorter line");
    }
    const auto line = ParseTraceLine(text);
    if (!line.ok()) {
      return ErrorAtLine(
        lineNumber,
        { line.status().message().data(), line.status().message().size() });
    }
    const absl::Status status = replay.Feed(*line);
    if (!status.ok()) {
      return ErrorAtLine(lineNumber,
                         { status.message().data(), status.message().size() });
    }
  }
  if (lineNumber == 0) {
    return ErrorAtLine(1, "expected the header, found an empty trace");
  }
  return replay.Finish();
}

int
RunReplay(const std::string& aPath, std::ostream& aOutput)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    aOutput << aPath << ": expected a file that can be read\n";
    return kExitUnreadable;
  }
  const auto report = ReplayTrace(file);
  if (!report.ok()) {
    const auto message = report.status().message();
    aOutput << aPath << ": " << std::string_view(message.data(), message.size())
            << '\n';
    return kExitUnreadable;
  }
  for (const ReplayMismatch& mismatch : report->mMismatches) {
    aOutput << aPath << ':' << mismatch.mLine << ": " << mismatch.mText << '\n';
  }
  aOutput << aPath << ": events " << report->mEventCount
          << ", effects compared " << report->mEffectCount << ", outcomes "
          << report->mOutcomeCount << ", mismatches "
          << report->mMismatches.size() << '\n';
  return report->mMismatches.empty() ? 0 : kExitMismatch;
}

} // namespace heatherfork
