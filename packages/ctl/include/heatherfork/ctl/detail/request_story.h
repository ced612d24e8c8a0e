#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "heatherfork/ctl/command.h"

/// What became of one request, from the logs of relaying nodes.
namespace heatherfork::ctl::detail {

/// One line of a log.
struct LogLine
{
  std::int64_t mAt = 0; ///< Milliseconds of the time of day at its node.
  std::string mNode;
  std::string mEvent;
  std::string mRequest; ///< Empty for a change of belief.
  std::string mText;    ///< The rest.
};

/// Lines of one node, in the order in which it wrote them.
using LogLines = std::vector<LogLine>;

/// Adds the lines of a log to those of their nodes. Skips what is no line of a
/// node, and what stands before one.
void
ReadLog(std::istream& aLog, std::map<std::string, LogLines>& aNodes);

/// The request's lines node by node, with what else the node learnt meanwhile.
/// Times are relative to the first line of the same node, as clocks of nodes
/// may disagree. Empty when no node knows the request.
std::string
StoryOf(const std::map<std::string, LogLines>& aNodes,
        const std::string& aRequest);

/// Prints the story from files. Unreachable when a file can't be read or none
/// tells of the request.
ExitCode
TellStory(const std::vector<std::string>& aFiles,
          const std::string& aRequest,
          const Console& aConsole);

} // namespace heatherfork::ctl::detail
