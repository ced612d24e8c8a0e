#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "measure.h"
#include "policies.h"

ABSL_FLAG(std::string, out, "policy.json", "File for the rows.");
ABSL_FLAG(std::string, scenario, "", "Only this scenario.");
ABSL_FLAG(std::string, policy, "", "Only policies that begin so.");
ABSL_FLAG(int, seeds, 10, "Runs of each scenario and policy.");
ABSL_FLAG(int, threads, 4, "Runs at once.");

namespace heatherfork::bench {

namespace {

struct Job
{
  Scenario mScenario;
  Policy mPolicy;
  std::uint64_t mSeed = 0;
};

std::vector<Job>
MakeJobs()
{
  const std::string wantedScenario = absl::GetFlag(FLAGS_scenario);
  const std::string wantedPolicy = absl::GetFlag(FLAGS_policy);
  std::vector<Job> jobs;
  for (const Scenario& scenario : AllScenarios()) {
    if (!wantedScenario.empty() && scenario.mName != wantedScenario) {
      continue;
    }
    for (const Policy& policy : AllPolicies()) {
      if (!policy.mName.starts_with(wantedPolicy)) {
        continue;
      }
      for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
        jobs.push_back({ scenario, policy, static_cast<std::uint64_t>(seed) });
      }
    }
  }
  return jobs;
}

std::vector<Row>
RunJobs(const std::vector<Job>& aJobs)
{
  std::vector<Row> rows(aJobs.size());
  std::atomic<std::size_t> next{ 0 };
  const auto runJobs = [&] {
    for (std::size_t n = next++; n < aJobs.size(); n = next++) {
      const Job& job = aJobs[n];
      Fleet fleet(job.mScenario, job.mPolicy, job.mSeed);
      fleet.Run();
      rows[n] = Measure(job.mScenario, job.mPolicy, job.mSeed, fleet);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_threads)));
  for (int n = 0; n < absl::GetFlag(FLAGS_threads); ++n) {
    threads.emplace_back(runJobs);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return rows;
}

void
WriteJson(const std::vector<Row>& aRows, const std::string& aFile)
{
  std::ofstream out(aFile);
  out << "[\n";
  for (std::size_t n = 0; n < aRows.size(); ++n) {
    const Row& row = aRows[n];
    out << "  {\"scenario\": \"" << row.mScenario << "\", \"policy\": \""
        << row.mPolicy << "\", \"seed\": " << row.mSeed;
    for (const Figure& figure : row.mFigures) {
      out << ", \"" << figure.first << "\": " << figure.second;
    }
    out << (n + 1 < aRows.size() ? "},\n" : "}\n");
  }
  out << "]\n";
}

void
PrintCell(std::vector<double> aValues, const std::string& aName)
{
  std::sort(aValues.begin(), aValues.end());
  const double median =
    (aValues[(aValues.size() - 1) / 2] + aValues[aValues.size() / 2]) / 2;
  const bool isTime = aName.ends_with("_ms");
  std::printf(isTime ? " %6.0f [%5.0f %6.0f]" : " %6.3f [%5.3f %6.3f]",
              median,
              aValues.front(),
              aValues.back());
}

// Prints median, minimum and maximum over all seeds, one line for each scenario
// and policy.
void
PrintTable(const std::vector<Row>& aRows)
{
  std::string scenario;
  for (std::size_t n = 0; n < aRows.size();) {
    const Row& first = aRows[n];
    if (first.mScenario != scenario) {
      scenario = first.mScenario;
      std::printf("\n%-22s", scenario.c_str());
      for (const Figure& figure : first.mFigures) {
        std::printf(" %21s", figure.first.c_str());
      }
      std::printf("\n");
    }
    std::size_t end = n;
    while (end < aRows.size() && aRows[end].mScenario == scenario &&
           aRows[end].mPolicy == first.mPolicy) {
      ++end;
    }
    std::printf("%-22s", first.mPolicy.c_str());
    for (std::size_t figure = 0; figure < first.mFigures.size(); ++figure) {
      std::vector<double> values;
      for (std::size_t row = n; row < end; ++row) {
        values.push_back(aRows[row].mFigures[figure].second);
      }
      PrintCell(std::move(values), first.mFigures[figure].first);
    }
    std::printf("\n");
    n = end;
  }
}

} // namespace

} // namespace heatherfork::bench

int
main(int aCount, char** aArguments)
{
  using namespace heatherfork::bench;
  absl::ParseCommandLine(aCount, aArguments);
  const std::vector<Row> rows = RunJobs(MakeJobs());
  WriteJson(rows, absl::GetFlag(FLAGS_out));
  PrintTable(rows);
  return 0;
}
