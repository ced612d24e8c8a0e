#pragma once

#include "schedule.h"

/// Minimizes failing schedules.
namespace heatherfork::explorer {

/// Removes faults, requests and transmissions while some rule is still
/// violated. Runs one simulation per candidate.
Schedule
Shrink(const Schedule& aSchedule);

} // namespace heatherfork::explorer
