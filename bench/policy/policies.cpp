#include "policies.h"

#include "heatherfork/detail/scheduling/predictive_scheduler.h"

#include "all_knowing_scheduler.h"
#include "baseline_scheduler.h"

namespace heatherfork::bench {

namespace {

Policy
Baseline(const char* aName, BaselineKind aKind)
{
  Policy policy;
  policy.mName = aName;
  policy.mIsLocal = true;
  policy.mMake = [aKind](const Fleet&, std::uint64_t aSeed) {
    return std::make_unique<BaselineScheduler>(aKind, aSeed);
  };
  return policy;
}

Policy
Ours(const char* aName, bool SchedulingSettings::*aOff = nullptr)
{
  Policy policy;
  policy.mName = aName;
  if (aOff != nullptr) {
    policy.mSettings.*aOff = false;
  }
  policy.mMake = [](const Fleet&, std::uint64_t) {
    return std::make_unique<detail::PredictiveScheduler>();
  };
  return policy;
}

Policy
AllKnowing()
{
  Policy policy;
  policy.mName = "all-knowing";
  policy.mMake = [](const Fleet& aFleet, std::uint64_t) {
    return std::make_unique<AllKnowingScheduler>(aFleet);
  };
  return policy;
}

} // namespace

std::vector<Policy>
AllPolicies()
{
  using Settings = SchedulingSettings;
  return {
    Baseline("random", BaselineKind::kRandom),
    Baseline("round-robin", BaselineKind::kRoundRobin),
    Baseline("least-reported", BaselineKind::kLeastReported),
    Baseline("two-choices", BaselineKind::kTwoChoices),
    AllKnowing(),
    Ours("ours"),
    Ours("ours-no-stragglers", &Settings::mUseStragglerDetection),
    Ours("ours-no-prefix-hints", &Settings::mUsePrefixHints),
    Ours("ours-no-fairness", &Settings::mUseFairness),
    Ours("ours-no-targets", &Settings::mUseTargets),
    Ours("ours-no-batch-limit", &Settings::mUseBatchLimit),
    Ours("ours-no-headroom", &Settings::mUseHeadroom),
    Ours("ours-no-late-binding", &Settings::mUseLateBinding),
  };
}

} // namespace heatherfork::bench
