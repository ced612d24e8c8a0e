#include "heatherfork/detail/relay/heard_limits.h"

#include <absl/strings/str_cat.h>

#include "heatherfork/detail/relay/log_value.h"

namespace heatherfork::detail {

namespace {

// A report with a limit that has not changed shows the scheduler that it holds.
constexpr Duration kRepeatInterval = Milliseconds(500);

} // namespace

bool
HeardLimits::OnAnswer(RelayContext& aContext,
                      const Replica& aReplica,
                      const std::optional<RequestRate>& aRate)
{
  const auto [it, isNew] = mHeard.try_emplace(aReplica.mName);
  Heard& heard = it->second;
  const bool isChanged =
    isNew || heard.mRate != aRate || heard.mStartedAt != aReplica.mStartedAt;
  const Duration sinceReport = aContext.Now() - heard.mReportFrom;
  heard.mStartedAt = aReplica.mStartedAt;
  heard.mRate = aRate;
  heard.mHeardAt = aContext.Now();
  if (!isChanged && sinceReport < kRepeatInterval) {
    return false;
  }
  heard.mReportFrom = aContext.Now();
  if (isChanged) {
    aContext.Emit(
      RelayLogEntry{ aRate ? "server-limit" : "server-limit-ended",
                     "",
                     absl::StrCat("server=",
                                  LogValue(aReplica.mName.mValue),
                                  " service=",
                                  LogValue(aReplica.mService.mValue),
                                  " per_second=",
                                  aRate ? aRate->PerSecond() : 0) });
  }
  return true;
}

void
HeardLimits::OnMalformed(RelayContext& aContext, const Replica& aReplica)
{
  mMalformed.Log(aContext, "server-limit-malformed", aReplica);
}

void
HeardLimits::Report(RelayContext& aContext, const NodeId& aScheduler)
{
  LimitReport report;
  const auto [it, isNew] = mReportedAt.try_emplace(aScheduler);
  for (const auto& [server, heard] : mHeard) {
    if (isNew || heard.mReportFrom >= it->second) {
      report.mLimits.push_back({ server,
                                 heard.mStartedAt,
                                 heard.mRate.has_value(),
                                 heard.mRate.value_or(RequestRate{}),
                                 aContext.Now() - heard.mHeardAt });
    }
  }
  if (report.mLimits.empty()) {
    return;
  }
  it->second = aContext.Now() + Duration(1);
  aContext.mShared.Send(aScheduler, std::move(report));
}

void
HeardLimits::OnReplicas(const Replicas& aReplicas)
{
  std::erase_if(mHeard, [&](const auto& aItem) {
    return !IsCurrent(aReplicas, aItem.first, aItem.second.mStartedAt);
  });
  mMalformed.OnReplicas(aReplicas);
}

std::vector<ServerLimit>
HeardLimits::All(Instant aNow) const
{
  std::vector<ServerLimit> limits;
  for (const auto& [server, heard] : mHeard) {
    if (heard.mRate) {
      limits.push_back({ server,
                         heard.mStartedAt,
                         true,
                         *heard.mRate,
                         aNow - heard.mHeardAt });
    }
  }
  return limits;
}

} // namespace heatherfork::detail
