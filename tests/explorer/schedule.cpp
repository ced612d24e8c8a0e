#include "schedule.h"

#include <random>

namespace heatherfork::explorer {

namespace {

class RandomSource
{
public:
  explicit RandomSource(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  // std::uniform_int_distribution gives different values in different standard
  // libraries, so that a seed would not reproduce a schedule.
  int Below(int aBound) { return static_cast<int>(mRandom() % aBound); }

  Duration Between(int aMinMs, int aMaxMs)
  {
    return Milliseconds(aMinMs + Below(aMaxMs - aMinMs + 1));
  }

private:
  std::mt19937_64 mRandom;
};

// Faults start shortly before the first request or while requests are running.
constexpr int kFirstFaultMs = 2900;
constexpr int kLastFaultMs = 5000;
constexpr int kFirstRequestMs = 3000;
constexpr int kLastRequestMs = 4000;

Fault
GenerateFault(RandomSource& aRandom)
{
  constexpr int kDurationsMs[] = { 30, 200, 1000, 10000, 60000 };
  Fault fault;
  fault.mKind = static_cast<FaultKind>(aRandom.Below(kFaultKinds));
  fault.mStartOffset = aRandom.Between(kFirstFaultMs, kLastFaultMs);
  fault.mDuration =
    Milliseconds(kDurationsMs[aRandom.Below(std::size(kDurationsMs))]);
  fault.mNode = aRandom.Below(kNodes);
  fault.mTarget = (fault.mNode + 1 + aRandom.Below(kNodes - 1)) % kNodes;
  return fault;
}

PlannedRequest
GenerateRequest(RandomSource& aRandom)
{
  PlannedRequest planned;
  // Half of the requests are of the kind that must not repeat.
  const int kind = aRandom.Below(2 * (kPlannedRequestKinds - 1));
  planned.mKind = kind < kPlannedRequestKinds
                    ? static_cast<PlannedRequestKind>(kind)
                    : PlannedRequestKind::kReserve;
  planned.mDeadline = aRandom.Between(300, 6000);
  Transmission transmission;
  transmission.mStartOffset = aRandom.Between(kFirstRequestMs, kLastRequestMs);
  const int transmissionCount = 1 + aRandom.Below(3);
  for (int n = 0; n < transmissionCount; ++n) {
    transmission.mNode = aRandom.Below(kNodes);
    transmission.mKeepsPreviousOpen = aRandom.Below(2) == 0;
    planned.mTransmissions.push_back(transmission);
    transmission.mStartOffset += aRandom.Between(1, 1500);
  }
  return planned;
}

} // namespace

Schedule
GenerateSchedule(std::uint64_t aSeed)
{
  RandomSource random(aSeed);
  Schedule schedule;
  schedule.mSeed = aSeed;
  const int requestCount = 2 + random.Below(4);
  for (int n = 0; n < requestCount; ++n) {
    schedule.mPlannedRequests.push_back(GenerateRequest(random));
  }
  const int faultCount = 1 + random.Below(3);
  for (int n = 0; n < faultCount; ++n) {
    schedule.mFaults.push_back(GenerateFault(random));
  }
  // Lets two faults start at the same time.
  if (faultCount > 1 && random.Below(2) == 0) {
    schedule.mFaults[1].mStartOffset = schedule.mFaults[0].mStartOffset;
  }
  return schedule;
}

std::string
Describe(const Schedule& aSchedule)
{
  constexpr const char* kRequestNames[] = {
    "reserve", "lookup", "chat", "summary"
  };
  constexpr const char* kFaultNames[] = {
    "kill",          "freeze",         "freeze-in-step", "cut",
    "delay",         "duplicate",      "break-calls",    "refuse-calls",
    "delay-replies", "repeat-replies", "engine-restart", "stop"
  };
  const auto ms = [](Duration aDuration) {
    return std::to_string(ToMilliseconds(aDuration));
  };
  std::string text = "seed " + std::to_string(aSchedule.mSeed) + "\n";
  for (const PlannedRequest& planned : aSchedule.mPlannedRequests) {
    text += std::string("  ") + kRequestNames[static_cast<int>(planned.mKind)] +
            " deadline " + ms(planned.mDeadline);
    for (const Transmission& transmission : planned.mTransmissions) {
      text += ", at " + ms(transmission.mStartOffset) + " to n" +
              std::to_string(transmission.mNode) +
              (transmission.mKeepsPreviousOpen ? " (keeps)" : "");
    }
    text += "\n";
  }
  for (const Fault& fault : aSchedule.mFaults) {
    text += std::string("  ") + kFaultNames[static_cast<int>(fault.mKind)] +
            " at " + ms(fault.mStartOffset) + " for " + ms(fault.mDuration) +
            " n" + std::to_string(fault.mNode) + " other " +
            std::to_string(fault.mTarget) + "\n";
  }
  return text;
}

} // namespace heatherfork::explorer
