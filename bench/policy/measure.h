#pragma once

#include <string>
#include <utility>
#include <vector>

#include "fleet.h"

/// Metrics of a simulation run.
namespace heatherfork::bench {

/// Name and value of a metric.
using Figure = std::pair<std::string, double>;

/// Metrics of one run, in the order of the table's columns.
struct Row
{
  std::string mScenario;
  std::string mPolicy;
  std::uint64_t mSeed = 0;
  std::vector<Figure> mFigures;
};

Row
Measure(const Scenario& aScenario,
        const Policy& aPolicy,
        std::uint64_t aSeed,
        const Fleet& aFleet);

} // namespace heatherfork::bench
