#include "heatherfork/ctl/detail/request_timeline.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <optional>
#include <ostream>
#include <sstream>

#include "heatherfork/ctl/detail/printable.h"

namespace heatherfork::ctl::detail {

namespace {

/// Removes "name=value " from the start of a text and returns the value.
/// Returns nullopt if the text starts with another name.
std::optional<std::string>
ConsumeField(std::string& aText, const std::string& aName)
{
  const std::string start = aName + "=";
  if (aText.rfind(start, 0) != 0) {
    return std::nullopt;
  }
  const std::size_t end = std::min(aText.find(' '), aText.size());
  std::string value = aText.substr(start.size(), end - start.size());
  aText.erase(0, std::min(end + 1, aText.size()));
  return value;
}

std::optional<LogLine>
ParseLogLine(std::string aText)
{
  const std::size_t start = aText.find("time_ms=");
  if (start == std::string::npos) {
    return std::nullopt;
  }
  aText.erase(0, start);
  const auto timeMs = ConsumeField(aText, "time_ms");
  const auto level = ConsumeField(aText, "level");
  const auto node = ConsumeField(aText, "node");
  const auto event = ConsumeField(aText, "event");
  // A time of up to 17 digits fits into 64 bits.
  const bool isNumber =
    timeMs && !timeMs->empty() && timeMs->size() < 18 &&
    std::all_of(timeMs->begin(), timeMs->end(), [](unsigned char aByte) {
      return std::isdigit(aByte) != 0;
    });
  if (!isNumber || !level || !node || !event) {
    return std::nullopt;
  }
  LogLine line{ std::stoll(*timeMs), *node, *event, "", "" };
  line.mRequest = ConsumeField(aText, "request").value_or("");
  line.mFields = aText;
  return line;
}

void
PrintLine(std::ostream& aOut, const LogLine& aLine, std::int64_t aStartMs)
{
  aOut << std::setw(8) << aLine.mTimeMs - aStartMs << " ms  "
       << (aLine.mRequest.empty() ? "(meanwhile) " : "")
       << Printable(aLine.mEvent);
  if (!aLine.mFields.empty()) {
    aOut << ' ' << Printable(aLine.mFields);
  }
  aOut << '\n';
}

} // namespace

void
ReadLog(std::istream& aLog, std::map<std::string, LogLines>& aNodes)
{
  std::string text;
  while (std::getline(aLog, text)) {
    if (auto line = ParseLogLine(text)) {
      aNodes[line->mNode].push_back(std::move(*line));
    }
  }
}

std::string
FormatTimeline(const std::map<std::string, LogLines>& aNodes,
               const std::string& aRequest)
{
  std::ostringstream out;
  int nodeCount = 0;
  for (const auto& [node, lines] : aNodes) {
    const auto isOfRequest = [&](const LogLine& aLine) {
      return !aRequest.empty() && aLine.mRequest == aRequest;
    };
    const auto first = std::find_if(lines.begin(), lines.end(), isOfRequest);
    if (first == lines.end()) {
      continue;
    }
    const auto last =
      std::find_if(lines.rbegin(), lines.rend(), isOfRequest).base();
    out << "at " << node << ", from time_ms=" << first->mTimeMs << ":\n";
    for (auto it = first; it != last; ++it) {
      if (isOfRequest(*it) || it->mRequest.empty()) {
        PrintLine(out, *it, first->mTimeMs);
      }
    }
    ++nodeCount;
  }
  if (nodeCount > 1) {
    out << "each node's times are its own: which node was first is not told\n";
  }
  return out.str();
}

ExitCode
PrintTimeline(const std::vector<std::string>& aFiles,
              const std::string& aRequest,
              const Console& aConsole)
{
  std::map<std::string, LogLines> nodes;
  for (const std::string& file : aFiles) {
    std::ifstream log(file);
    if (!log) {
      aConsole.mError << "expected a log that can be read, found \"" << file
                      << "\"\n";
      return ExitCode::kUnreachable;
    }
    ReadLog(log, nodes);
  }
  const std::string timeline = FormatTimeline(nodes, aRequest);
  if (timeline.empty()) {
    aConsole.mError << "request \"" << aRequest << "\" does not occur in "
                    << aFiles.size() << " logs\n";
    return ExitCode::kUnreachable;
  }
  aConsole.mOut << timeline;
  return ExitCode::kOk;
}

} // namespace heatherfork::ctl::detail
