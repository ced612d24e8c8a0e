#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "heatherfork/ctl/command.h"

/// Timelines of requests, taken from the logs of relay nodes.
namespace heatherfork::ctl::detail {

/// One parsed line of a log.
struct LogLine
{
  std::int64_t mTimeMs = 0; ///< Wall-clock time of the node.
  std::string mNode;
  std::string mEvent;
  std::string mRequest; ///< Empty if the event belongs to no request.
  std::string mFields;  ///< The other fields, as in the log.
};

/// Lines of one node in log order.
using LogLines = std::vector<LogLine>;

/// Appends the lines of a log to the lines of their nodes. Skips lines without
/// the fields that a node writes, and any text before the first field, such as
/// the time stamp of a log collector.
void
ReadLog(std::istream& aLog, std::map<std::string, LogLines>& aNodes);

/// Formats the lines of a request node by node, with the events between them
/// that belong to no request. Times are relative to the first line of the same
/// node because clocks of nodes may differ. Empty if no log has the request.
std::string
FormatTimeline(const std::map<std::string, LogLines>& aNodes,
               const std::string& aRequest);

/// Prints the timeline of a request from log files. Returns kUnreachable if a
/// file can't be read or no file contains the request.
ExitCode
PrintTimeline(const std::vector<std::string>& aFiles,
              const std::string& aRequest,
              const Console& aConsole);

} // namespace heatherfork::ctl::detail
