#include "shrink.h"

#include <optional>

#include "simulation.h"

namespace heatherfork::explorer {

namespace {

bool
BreaksRule(const Schedule& aSchedule)
{
  return !Simulation(aSchedule).Run().mViolation.empty();
}

// All schedules that are smaller by one item. A removed request keeps its place
// with no transmissions, so that the bodies of the others stay the same.
std::vector<Schedule>
SmallerSchedules(const Schedule& aSchedule)
{
  std::vector<Schedule> smaller;
  for (std::size_t n = 0; n < aSchedule.mFaults.size(); ++n) {
    Schedule it = aSchedule;
    it.mFaults.erase(it.mFaults.begin() + static_cast<std::ptrdiff_t>(n));
    smaller.push_back(it);
  }
  for (std::size_t n = 0; n < aSchedule.mPlannedRequests.size(); ++n) {
    if (aSchedule.mPlannedRequests[n].mTransmissions.empty()) {
      continue;
    }
    Schedule withoutRequest = aSchedule;
    withoutRequest.mPlannedRequests[n].mTransmissions.clear();
    smaller.push_back(withoutRequest);
    Schedule withoutLast = aSchedule;
    withoutLast.mPlannedRequests[n].mTransmissions.pop_back();
    smaller.push_back(withoutLast);
  }
  return smaller;
}

std::optional<Schedule>
SmallerFailure(const Schedule& aSchedule)
{
  for (const Schedule& it : SmallerSchedules(aSchedule)) {
    if (BreaksRule(it)) {
      return it;
    }
  }
  return std::nullopt;
}

} // namespace

Schedule
Shrink(const Schedule& aSchedule)
{
  Schedule smallest = aSchedule;
  while (const auto smaller = SmallerFailure(smallest)) {
    smallest = *smaller;
  }
  return smallest;
}

} // namespace heatherfork::explorer
