#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "heatherfork/reducer.h"
#include "heatherfork/replay.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

std::vector<std::string>
TraceFiles()
{
  std::vector<std::string> paths;
  for (const auto& it :
       std::filesystem::directory_iterator(HEATHERFORK_TRACES)) {
    paths.push_back(it.path().string());
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

std::vector<TraceLine>
ReadLines(const std::string& aPath)
{
  std::vector<TraceLine> lines;
  std::ifstream file(aPath);
  for (std::string text; std::getline(file, text);) {
    lines.push_back(*ParseTraceLine(text));
  }
  return lines;
}

// Feeds the events of a trace to a reducer and records them with their effects.
std::string
Record(const std::vector<TraceLine>& aLines)
{
  std::ostringstream recorded;
  const auto& started = std::get<NodeStarted>(aLines.at(1));
  Reducer reducer(started.mSettings);
  TraceWriter writer(recorded, started.mSettings);
  for (const TraceLine& line : aLines) {
    if (const auto* it = std::get_if<EventRecorded>(&line)) {
      const Event event{ it->mAt, it->mBody };
      writer.Write(event, reducer.Reduce(event));
    }
  }
  return recorded.str();
}

// Replays a trace; returns its mismatches, or the error if it can't be parsed.
std::string
ReplayResult(const std::string& aText)
{
  std::istringstream stream(aText);
  const auto report = ReplayTrace(stream);
  if (!report.ok()) {
    return std::string(report.status().message().data(),
                       report.status().message().size());
  }
  std::string text;
  for (const ReplayMismatch& it : report->mMismatches) {
    text += std::to_string(it.mLine) + ": " + it.mText + "\n";
  }
  return text;
}

const char* const kTraceHead = R"({"Trace":{}}
{"NodeStarted":{"settings":{"self":{"name":"a","incarnation":"1"}}}}
)";

} // namespace

TEST_GROUP(Replay){};

TEST(Replay, StoredTracesMeetTheirExpectedOutcomes)
{
  const auto paths = TraceFiles();
  CHECK(!paths.empty());
  for (const std::string& path : paths) {
    std::ostringstream output;
    const int exitCode = RunReplay(path, output);
    CHECK_EQUAL_TEXT(0, exitCode, output.str().c_str());
  }
}

TEST(Replay, EveryStoredTraceListsExpectedOutcomes)
{
  for (const std::string& path : TraceFiles()) {
    std::ifstream file(path);
    CHECK_TEXT(ReplayTrace(file)->mOutcomeCount > 0, path.c_str());
  }
}

TEST(Replay, ReproducesRecordedEffects)
{
  for (const std::string& path : TraceFiles()) {
    const std::string recorded = Record(ReadLines(path));
    STRCMP_EQUAL_TEXT("", ReplayResult(recorded).c_str(), path.c_str());
  }
}

TEST(Replay, DetectsMissingEffect)
{
  for (const std::string& path : TraceFiles()) {
    std::istringstream recorded(Record(ReadLines(path)));
    std::string withoutEffect;
    bool isEffectRemoved = false;
    for (std::string text; std::getline(recorded, text);) {
      const bool isEffect = text.rfind(R"({"Effect")", 0) == 0;
      if (isEffect && !isEffectRemoved) {
        isEffectRemoved = true;
        continue;
      }
      withoutEffect += text + "\n";
    }
    CHECK_TEXT(isEffectRemoved, path.c_str());
    CHECK_TEXT(!ReplayResult(withoutEffect).empty(), path.c_str());
  }
}

TEST(Replay, ReportsUnmetOutcomesAndInvalidLines)
{
  struct Row
  {
    const char* mLines;
    const char* mExpected;
  };
  const Row rows[] = {
    { R"({"ExpectAnswer":{"node":{"name":"a","incarnation":"1"},"caller":"9"}})",
      "3: expected one answer to caller 9, found 0\n" },
    { R"({"ExpectArrivals":{"tenant":"t","key":"k","at_least":1}})",
      "3: expected 1 to 1 arrivals of key k, found 0\n" },
    { R"({"Effect":{"node":"a","effect":{"ExitProcess":{}}}})",
      "3: expected "
      R"({"Effect":{"node":"a","effect":{"ExitProcess":{}}}}, found no effect)"
      "\n" },
    { R"({"Event":{"node":"b","body":{"TimerFired":{}}}})",
      "line 3: expected a node that has started, found b" },
    { R"({"Trace":{}})", "line 3: expected one header, of version 1" },
    { R"({"Event":{"node":1}})",
      "line 3: line.Event.node: expected a string or bytes in hex, found an "
      "integer" },
  };
  for (const Row& row : rows) {
    STRCMP_EQUAL(
      row.mExpected,
      ReplayResult(std::string(kTraceHead) + row.mLines + "\n").c_str());
  }
  STRCMP_EQUAL("line 1: expected the header first",
               ReplayResult("{\"ExpectTruth\":{}}\n").c_str());
  STRCMP_EQUAL("line 1: expected the header, found an empty trace",
               ReplayResult("").c_str());
}

TEST(Replay, ReturnsExitCodeForUnreadableFile)
{
  std::ostringstream output;
  CHECK_EQUAL(2, RunReplay("/nonexistent/trace.jsonl", output));
}
