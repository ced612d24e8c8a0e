#include <fstream>
#include <iostream>
#include <map>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "shrink.h"
#include "simulation.h"

ABSL_FLAG(int, schedules, 2000, "Number of schedules.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first schedule.");
ABSL_FLAG(std::string,
          record,
          "",
          "File for the trace of the first schedule; runs no other schedule.");

namespace heatherfork::explorer {

namespace {

constexpr int kMaxReportedFailures = 5;

void
WriteTrace(const std::string& aPath, const RunResult& aResult)
{
  std::ofstream file(aPath);
  for (const TraceLine& line : aResult.mTrace) {
    file << FormatTraceLine(line) << '\n';
  }
  file << FormatTraceLine(InvariantsExpected{}) << '\n'
       << FormatTraceLine(MemoryFreeExpected{}) << '\n';
}

void
ReportFailure(const Schedule& aSchedule)
{
  const Schedule smallest = Shrink(aSchedule);
  const RunResult result = Simulation(smallest, Recording::kOn).Run();
  const std::string path =
    "failure-" + std::to_string(aSchedule.mSeed) + ".jsonl";
  WriteTrace(path, result);
  std::cout << "broken: " << result.mViolation << '\n'
            << Describe(smallest) << "  trace: " << path << '\n';
}

int
Explore(int aSchedules, std::uint64_t aFirstSeed)
{
  std::size_t events = 0;
  std::map<std::string_view, int> answers;
  int failureCount = 0;
  for (int n = 0; n < aSchedules; ++n) {
    const Schedule schedule =
      GenerateSchedule(aFirstSeed + static_cast<std::uint64_t>(n));
    const RunResult result = Simulation(schedule).Run();
    events += result.mEvents;
    for (const auto& [name, count] : result.mAnswers) {
      answers[name] += count;
    }
    if (!result.mViolation.empty() && ++failureCount <= kMaxReportedFailures) {
      ReportFailure(schedule);
    }
  }
  std::cout << "schedules " << aSchedules << ", events " << events
            << ", broken " << failureCount << "; answers:";
  for (const auto& [name, count] : answers) {
    std::cout << ' ' << name << ' ' << count;
  }
  std::cout << '\n';
  return failureCount == 0 ? 0 : 1;
}

} // namespace

} // namespace heatherfork::explorer

int
main(int aCount, char** aArguments)
{
  using namespace heatherfork::explorer;
  absl::ParseCommandLine(aCount, aArguments);
  const std::string record = absl::GetFlag(FLAGS_record);
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  if (!record.empty()) {
    WriteTrace(record,
               Simulation(GenerateSchedule(seed), Recording::kOn).Run());
    return 0;
  }
  return Explore(absl::GetFlag(FLAGS_schedules), seed);
}
