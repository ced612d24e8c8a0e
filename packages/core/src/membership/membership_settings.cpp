#include "heatherfork/membership_settings.h"

#include <vector>

#include "heatherfork/detail/settings_range.h"

namespace heatherfork {

namespace {

constexpr std::int64_t kSecond = 1000;
constexpr std::int64_t kDay = 86400 * kSecond;

std::vector<detail::SettingRange>
Ranges(const MembershipSettings& aSettings)
{
  const auto ms = [](Duration aValue) { return ToMilliseconds(aValue); };
  return {
    { "probe_period_ms", ms(aSettings.mProbePeriod), 50, 60 * kSecond },
    { "news_period_ms", ms(aSettings.mNewsPeriod), 20, 60 * kSecond },
    { "ack_timeout_ms", ms(aSettings.mAckTimeout), 10, 60 * kSecond },
    { "relay_timeout_ms", ms(aSettings.mRelayTimeout), 10, 60 * kSecond },
    { "suspect_timeout_ms", ms(aSettings.mSuspectTimeout), 100, 600 * kSecond },
    { "pause_gap_ms", ms(aSettings.mPauseGap), 50, 60 * kSecond },
    { "join_time_ms", ms(aSettings.mJoinTime), 100, 600 * kSecond },
    { "seed_interval_ms", ms(aSettings.mSeedInterval), 100, 600 * kSecond },
    { "dead_probe_interval_ms",
      ms(aSettings.mDeadProbeInterval),
      100,
      600 * kSecond },
    { "dead_retention_ms", ms(aSettings.mDeadRetention), kSecond, 7 * kDay },
    { "sync_delay_ms", ms(aSettings.mSyncDelay), 0, 600 * kSecond },
    { "sync_interval_ms", ms(aSettings.mSyncInterval), 100, 600 * kSecond },
    { "relays", aSettings.mRelays, 0, 16 },
    { "max_gossip", aSettings.mMaxGossip, 1, 64 },
    { "gossip_factor", aSettings.mGossipFactor, 1, 16 },
    { "max_sync_buckets", aSettings.mMaxSyncBuckets, 1, 64 },
    { "max_members", aSettings.mMaxMembers, 2, 65536 },
  };
}

} // namespace

absl::Status
CheckSettings(const MembershipSettings& aSettings)
{
  absl::Status status = detail::CheckRanges("membership", Ranges(aSettings));
  if (!status.ok()) {
    return status;
  }
  if (aSettings.mNewsPeriod > aSettings.mProbePeriod) {
    return absl::InvalidArgumentError(
      "membership.news_period_ms must not be above probe_period_ms");
  }
  return absl::OkStatus();
}

} // namespace heatherfork
