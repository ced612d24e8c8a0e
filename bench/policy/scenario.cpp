#include "scenario.h"

#include <algorithm>

namespace heatherfork::bench {

namespace {

constexpr double kSteadyShare = 0.7;
constexpr double kBaseShare = 0.5;
constexpr double kPeakShare = 1.4;
constexpr Duration kRunTime = Milliseconds(27000);
constexpr Duration kPeakRampFrom = Milliseconds(8000);
constexpr Duration kRampTime = Milliseconds(2000);
constexpr Duration kPeakTime = Milliseconds(10000);
constexpr Duration kFaultFrom = Milliseconds(8000);
constexpr Duration kSlowPeriodTime = Milliseconds(5000);
constexpr Duration kLongFaultTime = Milliseconds(8000);
constexpr int kSlowPeriods = 3;

LoadCurve
SteadyLoad(Duration aUntil)
{
  return { { Duration{}, kSteadyShare }, { aUntil, kSteadyShare } };
}

LoadCurve
LoadPeak(Duration aUntil)
{
  const Duration peakFrom = kPeakRampFrom + kRampTime;
  return { { Duration{}, kBaseShare },
           { kPeakRampFrom, kBaseShare },
           { peakFrom, kPeakShare },
           { peakFrom + kPeakTime, kPeakShare },
           { peakFrom + kPeakTime + kRampTime, kBaseShare },
           { aUntil, kBaseShare } };
}

std::vector<Fault>
SlowPeriods()
{
  std::vector<Fault> faults;
  for (int n = 0; n < kSlowPeriods; ++n) {
    const Duration from = kFaultFrom + n * kSlowPeriodTime;
    faults.push_back({ FaultKind::kSlowServers, from, from + kSlowPeriodTime });
  }
  return faults;
}

Scenario
MakeScenario(const char* aName, LoadCurve aCurve)
{
  Scenario scenario;
  scenario.mName = aName;
  scenario.mCurve = std::move(aCurve);
  return scenario;
}

Scenario
WithLoadPeak(const char* aName)
{
  constexpr Duration kTimeAfterPeak = Milliseconds(10000);
  const Duration until = kPeakRampFrom + kRampTime + kPeakTime + kRampTime;
  Scenario scenario = MakeScenario(aName, LoadPeak(until + kTimeAfterPeak));
  scenario.mPeakFrom = kPeakRampFrom + kRampTime;
  scenario.mPeakUntil = kPeakRampFrom + kRampTime + kPeakTime;
  scenario.mDisruptedUntil = until;
  return scenario;
}

Scenario
WithFault(const char* aName, FaultKind aKind)
{
  Scenario scenario = MakeScenario(aName, SteadyLoad(kRunTime));
  scenario.mFaults = { { aKind, kFaultFrom, kFaultFrom + kLongFaultTime } };
  scenario.mDisruptedUntil = kFaultFrom + kLongFaultTime;
  return scenario;
}

} // namespace

std::vector<Scenario>
AllScenarios()
{
  Scenario slowed = MakeScenario("slowed", SteadyLoad(kRunTime));
  slowed.mFaults = SlowPeriods();
  slowed.mDisruptedUntil = kFaultFrom + kSlowPeriods * kSlowPeriodTime;
  Scenario peakAndSlowed = WithLoadPeak("crest-and-slowed");
  peakAndSlowed.mFaults = SlowPeriods();
  peakAndSlowed.mDisruptedUntil = std::max(peakAndSlowed.mDisruptedUntil,
                                           peakAndSlowed.mFaults.back().mUntil);
  Scenario resending = WithLoadPeak("refiling-tenant");
  resending.mResendsRequests = true;
  Scenario smallFleet = MakeScenario("torun", SteadyLoad(kRunTime));
  smallFleet.mPrefillServers = 3;
  smallFleet.mDecodeServers = 7;
  Scenario plainHeavy = WithLoadPeak("java");
  plainHeavy.mPlainShare = 0.3;
  return { MakeScenario("steady", SteadyLoad(kRunTime)),
           WithLoadPeak("crest"),
           slowed,
           peakAndSlowed,
           resending,
           WithFault("zone-lost", FaultKind::kZoneDown),
           WithFault("slow-link", FaultKind::kSlowLink),
           smallFleet,
           plainHeavy };
}

double
CapacityOf(const Scenario& aScenario)
{
  constexpr double kMicrosPerSecond = 1e6;
  constexpr int kFullBatch = 20;
  static const MeanCompletionCost kMeanCost = EstimateMeanCompletionCost();
  const double prefill =
    aScenario.mPrefillServers * kMicrosPerSecond / kMeanCost.mPrefillMicros;
  const double decode = aScenario.mDecodeServers * kFullBatch *
                        kMicrosPerSecond / kMeanCost.mDecodeSlotMicros;
  return std::min(prefill, decode) / (1 - aScenario.mPlainShare);
}

} // namespace heatherfork::bench
