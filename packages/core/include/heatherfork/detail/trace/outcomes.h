#pragma once

#include <string>
#include <vector>

#include "heatherfork/detail/trace/observer.h"
#include "heatherfork/trace.h"

/// Checks of expected outcomes against observed ones.
namespace heatherfork::detail::trace {

/// Returns a description of each mismatch; empty if the outcome is as expected.
std::vector<std::string>
Check(const Observer& aObserver, const ArrivalsExpected& aExpected);
std::vector<std::string>
Check(const Observer& aObserver, const AnswerExpected& aExpected);
std::vector<std::string>
Check(const Observer& aObserver, const NoAnswerExpected& aExpected);
std::vector<std::string>
Check(const Observer& aObserver, const InvariantsExpected& aExpected);
std::vector<std::string>
Check(const Observer& aObserver, const MemoryFreeExpected& aExpected);

} // namespace heatherfork::detail::trace
