#pragma once

#include "fleet.h"

/// Scheduling policies that the benchmark compares.
namespace heatherfork::bench {

std::vector<Policy>
AllPolicies();

} // namespace heatherfork::bench
