#pragma once

#include <string>
#include <vector>

#include "backend_servers.h"
#include "callers.h"

/// Invariants. A check returns the first violation, or an empty text.
namespace heatherfork::explorer {

/// A request that must not repeat ran at most once, and not at all if its
/// caller received an error with the outcome "not run". Holds at all times.
std::string
CheckRuns(const Callers& aCallers, const BackendServers& aServers);

/// Every open exchange has an answer. Holds at the end of a run.
std::string
CheckAnswered(const Callers& aCallers);

/// No engine holds memory. Holds at the end of a run.
std::string
CheckMemory(BackendServers& aServers);

} // namespace heatherfork::explorer
