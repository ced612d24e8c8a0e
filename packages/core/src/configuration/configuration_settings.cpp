#include "heatherfork/configuration_settings.h"

#include "heatherfork/detail/settings_range.h"

namespace heatherfork {

absl::Status
CheckSettings(const ConfigurationSettings& aSettings)
{
  constexpr std::int64_t kMinute = 60000;
  const auto ms = [](Duration aValue) { return ToMilliseconds(aValue); };
  return detail::CheckRanges(
    "configuration",
    {
      { "watch_slot_ms", ms(aSettings.mWatchSlot), 1000, 60 * kMinute },
      { "watch_wait_ms", ms(aSettings.mWatchWait), 100, 5 * kMinute },
      { "call_gap_ms", ms(aSettings.mCallGap), 10, kMinute },
      { "retry_delay_ms", ms(aSettings.mRetryDelay), 100, 5 * kMinute },
      { "call_timeout_ms", ms(aSettings.mCallTimeout), 100, kMinute },
      { "part_timeout_ms", ms(aSettings.mPartTimeout), 50, kMinute },
      { "ask_peers_time_ms", ms(aSettings.mAskPeersTime), 0, 5 * kMinute },
      { "peers_asked", aSettings.mPeersAsked, 1, 16 },
      { "max_part_reads", aSettings.mMaxPartReads, 1, 256 },
    });
}

} // namespace heatherfork
