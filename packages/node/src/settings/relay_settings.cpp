#include "heatherfork/relay_settings_file.h"

#include "heatherfork/detail/settings/settings_reader.h"

namespace heatherfork {

namespace {

using detail::ParseSettings;
using detail::Presence;
using detail::Range;
using detail::SettingsReader;

constexpr std::int64_t kMinuteMs = 60000;
constexpr std::size_t kMinKeyLength = 16;
constexpr double kThousandthsPerCore = 1000;
constexpr std::int64_t kMaxQuotaSlack = 1000000000000;
constexpr std::size_t kBytesPerMegabyte = std::size_t{ 1 } << 20;

void
ReadNode(const toml::table& aTable, RelaySettingsResult& aResult)
{
  SettingsReader reader(aTable, "node.", aResult.mMistakes);
  RelayNodeSettings& settings = aResult.mSettings;
  NodeSettings& node = settings.mNode;
  reader.Read("name", node.mSelf.mName.mValue, Presence::kRequired);
  reader.Read("zone", node.mZone.mValue, Presence::kRequired);
  reader.Read("caller_address", node.mCallerAddress, Presence::kRequired);
  reader.Read("peer_address", node.mPeerAddress, Presence::kRequired);
  settings.mCallerListen = node.mCallerAddress;
  settings.mPeerListen = node.mPeerAddress;
  reader.Read("seeds", node.mSeeds);
  double processorShare = 0;
  double processors = 1;
  reader.Read("processor_share", processorShare, Range{ 0, 1 });
  reader.Read("processors", processors, Range{ 0, 1024 });
  std::size_t memory = settings.mMemoryBytes / kBytesPerMegabyte;
  reader.Read("memory_mb", memory, Range{ 16, 1048576 });
  settings.mMemoryBytes = memory * kBytesPerMegabyte;
  node.mProcessorShare = static_cast<std::uint32_t>(
    processorShare * processors * kThousandthsPerCore);
  reader.Read("info_addresses", settings.mInfoListen);
  reader.Read("metrics_address", settings.mMetricsListen, Presence::kOptional);
  reader.Finish();
}

void
ReadKeys(const toml::table& aTable, RelaySettingsResult& aResult)
{
  SettingsReader reader(aTable, "keys.", aResult.mMistakes);
  std::string& key = aResult.mSettings.mPeerKey;
  reader.Read("peer", key, Presence::kRequired);
  reader.Finish();
  if (!key.empty() && key.size() < kMinKeyLength) {
    aResult.mMistakes.push_back(
      SettingsMistake{ 0, "keys.peer", "a key of at least 16 characters" });
  }
}

void
ReadRelay(const toml::table& aTable, RelaySettingsResult& aResult)
{
  SettingsReader reader(aTable, "relay.", aResult.mMistakes);
  RelaySettings& relay = aResult.mSettings.mRelay;
  double slack = 0;
  double quotaSlack = 0;
  reader.Read("store", aResult.mSettings.mStoreAddress, Presence::kRequired);
  reader.Read("retry_budget_ratio", relay.mRetryRatio, Range{ 0, 10 });
  reader.Read("retry_budget_slack", slack, Range{ 0, 1000000 });
  relay.mRetrySlack = static_cast<int>(slack);
  reader.ReadSeconds("retry_window_s", relay.mRetryWindow, Range{ 1, 600 });
  reader.ReadMilliseconds(
    "routing_bound_ms", relay.mMaxRoutingDelay, Range{ 100, kMinuteMs });
  reader.ReadMilliseconds(
    "leaving_bound_ms", relay.mMaxLeavingDelay, Range{ 100, kMinuteMs });
  reader.ReadMilliseconds(
    "key_withdrawal_bound_ms", relay.mMaxKeyDelay, Range{ 0, kMinuteMs });
  reader.ReadSeconds("quota_window_s", relay.mQuotaWindow, Range{ 1, 600 });
  reader.Read("quota_overshoot", relay.mQuotaOvershoot, Range{ 0, 10 });
  reader.Read("quota_slack", quotaSlack, Range{ 0, kMaxQuotaSlack });
  relay.mQuotaSlack = static_cast<std::int64_t>(quotaSlack);
  reader.ReadSeconds("grace_s", relay.mGracePeriod, Range{ 1, 600 });
  reader.ReadMilliseconds(
    "entries_validity_ms", relay.mEntriesValidity, Range{ 1000, kMinuteMs });
  reader.Read("max_answer_bytes",
              aResult.mSettings.mMaxAnswerBytes,
              Range{ 1024, std::int64_t{ 1 } << 30 });
  reader.Read("stream_bytes_per_second",
              aResult.mSettings.mStreamBytesPerSecond,
              Range{ 65536, std::int64_t{ 1 } << 30 });
  reader.Finish();
}

void
ReadLog(const toml::table& aTable, RelaySettingsResult& aResult)
{
  SettingsReader reader(aTable, "log.", aResult.mMistakes);
  reader.ReadOneOf("level",
                   aResult.mSettings.mLogLevel,
                   { "debug", "info", "warning", "error" });
  reader.Finish();
}

} // namespace

bool
IsRelaySettings(const std::string& aToml)
{
  try {
    return toml::parse(aToml).contains("relay");
  } catch (const toml::parse_error&) {
    return false; // ReadSettings reports the syntax error.
  }
}

RelaySettingsResult
ReadRelaySettings(const std::string& aToml)
{
  RelaySettingsResult result;
  const auto table = ParseSettings(aToml, result.mMistakes);
  if (!table) {
    return result;
  }
  SettingsReader reader(*table, "", result.mMistakes);
  ReadNode(reader.Table("node"), result);
  ReadKeys(reader.Table("keys"), result);
  ReadRelay(reader.Table("relay"), result);
  ReadLog(reader.Table("log"), result);
  reader.Finish();
  return result;
}

} // namespace heatherfork
