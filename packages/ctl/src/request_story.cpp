#include "heatherfork/ctl/detail/request_story.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <optional>
#include <ostream>
#include <sstream>

namespace heatherfork::ctl::detail {

namespace {

/// Takes "name=value " from the front of a text; nothing when another name
/// stands there.
std::optional<std::string>
TakeField(std::string& aText, const std::string& aName)
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
ReadLine(std::string aText)
{
  const std::size_t start = aText.find("time_ms=");
  if (start == std::string::npos) {
    return std::nullopt;
  }
  aText.erase(0, start);
  const auto at = TakeField(aText, "time_ms");
  const auto level = TakeField(aText, "level");
  const auto node = TakeField(aText, "node");
  const auto event = TakeField(aText, "event");
  const bool isNumber =
    at && !at->empty() && at->size() < 18 &&
    std::all_of(at->begin(), at->end(), [](unsigned char aByte) {
      return std::isdigit(aByte) != 0;
    });
  if (!isNumber || !level || !node || !event) {
    return std::nullopt;
  }
  LogLine line{ std::stoll(*at), *node, *event, "", "" };
  line.mRequest = TakeField(aText, "request").value_or("");
  line.mText = aText;
  return line;
}

void
TellLine(std::ostream& aOut, const LogLine& aLine, std::int64_t aSince)
{
  aOut << std::setw(8) << aLine.mAt - aSince << " ms  "
       << (aLine.mRequest.empty() ? "(meanwhile) " : "") << aLine.mEvent;
  if (!aLine.mText.empty()) {
    aOut << ' ' << aLine.mText;
  }
  aOut << '\n';
}

} // namespace

void
ReadLog(std::istream& aLog, std::map<std::string, LogLines>& aNodes)
{
  std::string text;
  while (std::getline(aLog, text)) {
    if (auto line = ReadLine(text)) {
      aNodes[line->mNode].push_back(std::move(*line));
    }
  }
}

std::string
StoryOf(const std::map<std::string, LogLines>& aNodes,
        const std::string& aRequest)
{
  std::ostringstream out;
  int nodes = 0;
  for (const auto& [node, lines] : aNodes) {
    const auto isOf = [&](const LogLine& aLine) {
      return !aRequest.empty() && aLine.mRequest == aRequest;
    };
    const auto first = std::find_if(lines.begin(), lines.end(), isOf);
    if (first == lines.end()) {
      continue;
    }
    const auto last = std::find_if(lines.rbegin(), lines.rend(), isOf).base();
    out << "at " << node << ", from time_ms=" << first->mAt << ":\n";
    for (auto it = first; it != last; ++it) {
      if (isOf(*it) || it->mRequest.empty()) {
        TellLine(out, *it, first->mAt);
      }
    }
    ++nodes;
  }
  if (nodes > 1) {
    out << "each node's times are its own: which node was first is not told\n";
  }
  return out.str();
}

ExitCode
TellStory(const std::vector<std::string>& aFiles,
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
  const std::string story = StoryOf(nodes, aRequest);
  if (story.empty()) {
    aConsole.mError << "request \"" << aRequest << "\" does not occur in "
                    << aFiles.size() << " logs\n";
    return ExitCode::kUnreachable;
  }
  aConsole.mOut << story;
  return ExitCode::kOk;
}

} // namespace heatherfork::ctl::detail
