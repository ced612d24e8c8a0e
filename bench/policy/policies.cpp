#include "policies.h"

#include "heatherfork/detail/scheduling/predictive_scheduler.h"

#include "baseline_scheduler.h"
#include "oracle_scheduler.h"

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
Predictive(const char* aName, bool SchedulingSettings::*aDisabled = nullptr)
{
  Policy policy;
  policy.mName = aName;
  if (aDisabled != nullptr) {
    policy.mSettings.*aDisabled = false;
  }
  policy.mMake = [](const Fleet&, std::uint64_t) {
    return std::make_unique<detail::PredictiveScheduler>();
  };
  return policy;
}

Policy
Oracle()
{
  Policy policy;
  policy.mName = "all-knowing";
  policy.mMake = [](const Fleet& aFleet, std::uint64_t) {
    return std::make_unique<OracleScheduler>(aFleet);
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
    Oracle(),
    Predictive("ours"),
    Predictive("ours-no-stragglers", &Settings::mUseStragglers),
    Predictive("ours-no-prefix-hints", &Settings::mUsePrefixHints),
    Predictive("ours-no-fairness", &Settings::mUseFairness),
    Predictive("ours-no-targets", &Settings::mUseTargets),
    Predictive("ours-no-batch-limit", &Settings::mUseBatchLimit),
    Predictive("ours-no-headroom", &Settings::mUseHeadroom),
    Predictive("ours-no-late-binding", &Settings::mUseLateBinding),
  };
}

} // namespace heatherfork::bench
