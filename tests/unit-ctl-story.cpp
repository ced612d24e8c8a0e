#include "heatherfork/ctl/detail/request_timeline.h"

#include <cstdio>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace heatherfork::ctl;

namespace {

// Log of two nodes whose clocks differ by one hour. A log collector has
// prefixed one line with its own time stamp, one line is truncated, one has a
// time out of range, and one was not written by a node.
constexpr char kLog[] =
  "time_ms=1000 level=info node=a.1 event=member node=b.2 status=alive\n"
  "time_ms=1010 level=info node=a.1 event=taken request=r1 route=x age_ms=0\n"
  "3.2 a time_ms=1011 level=info node=a.1 event=taken request=r2 route=x\n"
  "time_ms=1015 level=info node=a.1 event=member node=b.2 status=dead\n"
  "time_ms=1020 level=warning node=a.1 event=refused request=r1 error=busy\n"
  "time_ms=1030 level=info node=a.1 event=store-lost reader=routing\n"
  "time_ms=3601000 level=info node=b.2 event=taken request=r2 route=y\n"
  "time_ms=360\n"
  "time_ms=9999999999999999999 level=info node=b.2 event=taken request=r1\n"
  "something else\n";

std::string
TimelineFor(const std::string& aRequest)
{
  std::istringstream log(kLog);
  std::map<std::string, detail::LogLines> nodes;
  detail::ReadLog(log, nodes);
  return detail::FormatTimeline(nodes, aRequest);
}

struct CommandResult
{
  ExitCode mCode;
  std::string mOut;
  std::string mError;
};

CommandResult
Explain(const std::vector<std::string>& aLogs,
        const std::vector<std::string>& aCommandLine)
{
  std::ostringstream out;
  std::ostringstream error;
  const Console console{ out, error, "", {}, aLogs };
  const ExitCode code = RunCommand(aCommandLine, console);
  return { code, out.str(), error.str() };
}

} // namespace

TEST_GROUP(RequestTimeline){};

TEST(RequestTimeline, PrintsNoControlCharacters)
{
  std::istringstream log("time_ms=1 level=info node=a.1 event=x\x1b[2J "
                         "request=r1 name=\x1b]\x7f\r\n");
  std::map<std::string, detail::LogLines> nodes;
  detail::ReadLog(log, nodes);
  STRCMP_CONTAINS("  x?[2J name=?]??\n",
                  detail::FormatTimeline(nodes, "r1").c_str());
}

TEST(RequestTimeline, PrintsRequestWithOtherEventsOfItsNode)
{
  struct Row
  {
    const char* mRequest;
    const char* mExpectedTimeline;
  };
  const Row kRows[] = {
    { "r1",
      "at a.1, from time_ms=1010:\n"
      "       0 ms  taken route=x age_ms=0\n"
      "       5 ms  (meanwhile) member node=b.2 status=dead\n"
      "      10 ms  refused error=busy\n" },
    { "r2",
      "at a.1, from time_ms=1011:\n"
      "       0 ms  taken route=x\n"
      "at b.2, from time_ms=3601000:\n"
      "       0 ms  taken route=y\n"
      "each node's times are its own: which node was first is not told\n" },
    { "r", "" },
    { "", "" },
  };
  for (const Row& row : kRows) {
    STRCMP_EQUAL(row.mExpectedTimeline, TimelineFor(row.mRequest).c_str());
  }
}

TEST(RequestTimeline, ReportsUnreadableFilesAndUnknownRequests)
{
  const std::string file = "unit-ctl-story.log";
  std::ofstream(file) << kLog;
  const CommandResult explained = Explain({ file }, { "explain", file, "r1" });
  CHECK(explained.mCode == ExitCode::kOk);
  STRCMP_CONTAINS("refused error=busy", explained.mOut.c_str());
  const CommandResult unknownRequest = Explain({ file }, { "explain", "r9" });
  CHECK(unknownRequest.mCode == ExitCode::kUnreachable);
  STRCMP_EQUAL("request \"r9\" does not occur in 1 logs\n",
               unknownRequest.mError.c_str());
  const CommandResult missingFile =
    Explain({ "nowhere.log" }, { "explain", "r1" });
  CHECK(missingFile.mCode == ExitCode::kUnreachable);
  STRCMP_EQUAL("expected a log that can be read, found \"nowhere.log\"\n",
               missingFile.mError.c_str());
  const CommandResult withoutArguments = Explain({ file }, { "explain" });
  CHECK(withoutArguments.mCode == ExitCode::kUsage);
  std::remove(file.c_str());
}
