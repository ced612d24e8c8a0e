#include "heatherfork/settings.h"

#include "heatherfork/detail/settings/settings_reader.h"

namespace heatherfork {

namespace {

using detail::ParseSettings;
using detail::Presence;
using detail::Range;
using detail::SettingsReader;

constexpr std::int64_t kMinuteMs = 60000;
constexpr std::int64_t kHourMs = 60 * kMinuteMs;
constexpr std::int64_t kWeekMs = 168 * kHourMs;
constexpr int kDefaultCallerThreads = 4000;
constexpr int kDefaultServerThreads = 4000;
constexpr int kDefaultBodyBytes = 4 * 1024 * 1024;
constexpr int kMaxBodyBytes = 8 * 1024 * 1024;
constexpr int kMaxThreads = 20000;
constexpr std::size_t kMinKeyLength = 16;

void
ReadNode(const toml::table& aTable,
         Settings& aSettings,
         std::vector<SettingsMistake>& aMistakes)
{
  SettingsReader reader(aTable, "node.", aMistakes);
  NodeSettings& node = aSettings.mNode;
  reader.Read("name", node.mSelf.mName.mValue, Presence::kRequired);
  reader.Read("zone", node.mZone.mValue, Presence::kRequired);
  reader.Read("caller_address", node.mCallerAddress, Presence::kRequired);
  reader.Read("peer_address", node.mPeerAddress, Presence::kRequired);
  aSettings.mCallerListen = node.mCallerAddress;
  aSettings.mPeerListen = node.mPeerAddress;
  reader.Read("caller_listen", aSettings.mCallerListen, Presence::kOptional);
  reader.Read("peer_listen", aSettings.mPeerListen, Presence::kOptional);
  reader.Read("seeds", node.mSeeds);
  reader.Finish();
}

void
ReadPlatform(const toml::table& aTable,
             Settings& aSettings,
             std::vector<SettingsMistake>& aMistakes)
{
  SettingsReader reader(aTable, "platform.", aMistakes);
  reader.Read("configuration_service",
              aSettings.mConfigurationService,
              Presence::kRequired);
  reader.Read("vm_list", aSettings.mVmList, Presence::kRequired);
  reader.Finish();
}

void
ReadKeys(const toml::table& aTable,
         Settings& aSettings,
         std::vector<SettingsMistake>& aMistakes)
{
  SettingsReader reader(aTable, "keys.", aMistakes);
  reader.Read("peer", aSettings.mPeerKey, Presence::kRequired);
  reader.Read("previous_peer", aSettings.mPreviousPeerKey, Presence::kOptional);
  reader.Read("admin", aSettings.mAdminKey, Presence::kRequired);
  reader.Finish();
  if (!aSettings.mPeerKey.empty() &&
      aSettings.mPeerKey.size() < kMinKeyLength) {
    aMistakes.push_back(
      SettingsMistake{ 0, "keys.peer", "a key of at least 16 characters" });
  }
}

void
ReadLimits(const toml::table& aTable,
           Settings& aSettings,
           std::vector<SettingsMistake>& aMistakes)
{
  SettingsReader reader(aTable, "limits.", aMistakes);
  aSettings.mMaxCallerThreads = kDefaultCallerThreads;
  aSettings.mMaxServerThreads = kDefaultServerThreads;
  aSettings.mMaxBodyBytes = kDefaultBodyBytes;
  aSettings.mBodyTimeout = Milliseconds(10000);
  reader.Read(
    "caller_threads", aSettings.mMaxCallerThreads, Range{ 1, kMaxThreads });
  reader.Read(
    "server_threads", aSettings.mMaxServerThreads, Range{ 1, kMaxThreads });
  reader.Read(
    "body_bytes", aSettings.mMaxBodyBytes, Range{ 1024, kMaxBodyBytes });
  reader.ReadMilliseconds(
    "body_timeout_ms", aSettings.mBodyTimeout, Range{ 100, kMinuteMs });
  reader.Finish();
}

void
ReadPolicy(const toml::table& aTable,
           PolicySettings& aPolicy,
           std::vector<SettingsMistake>& aMistakes)
{
  SettingsReader reader(aTable, "policy.", aMistakes);
  const Range shortTime{ 10, kMinuteMs };
  const Range longTime{ 1000, kHourMs };
  reader.ReadMilliseconds(
    "timer_interval_ms", aPolicy.mTimerInterval, Range{ 1, 1000 });
  reader.ReadMilliseconds(
    "placement_timeout_ms", aPolicy.mPlacementTimeout, shortTime);
  reader.ReadMilliseconds(
    "reserve_timeout_ms", aPolicy.mReserveTimeout, shortTime);
  reader.ReadMilliseconds(
    "prefill_timeout_ms", aPolicy.mPrefillTimeout, shortTime);
  reader.ReadMilliseconds(
    "transfer_timeout_ms", aPolicy.mTransferTimeout, shortTime);
  reader.ReadMilliseconds("token_timeout_ms", aPolicy.mTokenTimeout, shortTime);
  reader.ReadMilliseconds(
    "late_answer_wait_ms", aPolicy.mLateAnswerWait, longTime);
  reader.ReadMilliseconds("cancel_retry_ms", aPolicy.mCancelRetry, shortTime);
  reader.ReadMilliseconds("cancel_give_up_ms", aPolicy.mCancelGiveUp, longTime);
  reader.ReadMilliseconds(
    "answer_retention_ms", aPolicy.mAnswerRetention, longTime);
  reader.Read("kept_answers", aPolicy.mMaxKeptAnswers, Range{ 0, 1000000 });
  reader.Read("tombstones", aPolicy.mMaxTombstones, Range{ 0, 10000000 });
  reader.Read("attempts", aPolicy.mMaxAttempts, Range{ 1, 10 });
  reader.Read(
    "retry_budget_percent", aPolicy.mRetryBudgetPercent, Range{ 0, 100 });
  reader.Finish();
}

void
ReadMembership(const toml::table& aTable,
               MembershipSettings& aMembership,
               std::vector<SettingsMistake>& aMistakes)
{
  SettingsReader reader(aTable, "membership.", aMistakes);
  reader.ReadMilliseconds(
    "probe_period_ms", aMembership.mProbePeriod, Range{ 50, kMinuteMs });
  reader.ReadMilliseconds(
    "news_period_ms", aMembership.mNewsPeriod, Range{ 20, kMinuteMs });
  reader.ReadMilliseconds(
    "ack_timeout_ms", aMembership.mAckTimeout, Range{ 10, kMinuteMs });
  reader.ReadMilliseconds(
    "relay_timeout_ms", aMembership.mRelayTimeout, Range{ 10, kMinuteMs });
  reader.ReadMilliseconds("suspect_timeout_ms",
                          aMembership.mSuspectTimeout,
                          Range{ 100, 10 * kMinuteMs });
  reader.ReadMilliseconds(
    "pause_gap_ms", aMembership.mPauseGap, Range{ 50, kMinuteMs });
  reader.ReadMilliseconds(
    "join_time_ms", aMembership.mJoinTime, Range{ 100, 10 * kMinuteMs });
  reader.ReadMilliseconds("seed_interval_ms",
                          aMembership.mSeedInterval,
                          Range{ 100, 10 * kMinuteMs });
  reader.ReadMilliseconds("dead_probe_interval_ms",
                          aMembership.mDeadProbeInterval,
                          Range{ 100, 10 * kMinuteMs });
  reader.ReadMilliseconds(
    "dead_retention_ms", aMembership.mDeadRetention, Range{ 1000, kWeekMs });
  reader.ReadMilliseconds(
    "sync_delay_ms", aMembership.mSyncDelay, Range{ 0, 10 * kMinuteMs });
  reader.ReadMilliseconds("sync_interval_ms",
                          aMembership.mSyncInterval,
                          Range{ 100, 10 * kMinuteMs });
  reader.Read("relays", aMembership.mRelays, Range{ 0, 16 });
  reader.Read("max_gossip", aMembership.mMaxGossip, Range{ 1, 64 });
  reader.Read("gossip_factor", aMembership.mGossipFactor, Range{ 1, 16 });
  reader.Read("max_sync_buckets", aMembership.mMaxSyncBuckets, Range{ 1, 64 });
  reader.Read("max_members", aMembership.mMaxMembers, Range{ 2, 65536 });
  reader.Finish();
}

void
ReadConfiguration(const toml::table& aTable,
                  ConfigurationSettings& aConfiguration,
                  std::vector<SettingsMistake>& aMistakes)
{
  SettingsReader reader(aTable, "configuration.", aMistakes);
  reader.ReadMilliseconds(
    "watch_slot_ms", aConfiguration.mWatchSlot, Range{ 1000, kHourMs });
  reader.ReadMilliseconds(
    "watch_wait_ms", aConfiguration.mWatchWait, Range{ 100, 5 * kMinuteMs });
  reader.ReadMilliseconds(
    "call_gap_ms", aConfiguration.mCallGap, Range{ 10, kMinuteMs });
  reader.ReadMilliseconds(
    "retry_delay_ms", aConfiguration.mRetryDelay, Range{ 100, 5 * kMinuteMs });
  reader.ReadMilliseconds(
    "call_timeout_ms", aConfiguration.mCallTimeout, Range{ 100, kMinuteMs });
  reader.ReadMilliseconds(
    "part_timeout_ms", aConfiguration.mPartTimeout, Range{ 50, kMinuteMs });
  reader.ReadMilliseconds("ask_peers_time_ms",
                          aConfiguration.mAskPeersTime,
                          Range{ 0, 5 * kMinuteMs });
  reader.Read("peers_asked", aConfiguration.mPeersAsked, Range{ 1, 16 });
  reader.Read("max_part_reads", aConfiguration.mMaxPartReads, Range{ 1, 256 });
  reader.Finish();
}

void
ReadScheduling(const toml::table& aTable,
               SchedulingSettings& aScheduling,
               std::vector<SettingsMistake>& aMistakes)
{
  SettingsReader reader(aTable, "scheduling.", aMistakes);
  reader.Read("shard_servers", aScheduling.mShardServers, Range{ 1, 1000 });
  reader.ReadMilliseconds(
    "other_zone_cost_ms", aScheduling.mOtherZoneCost, Range{ 0, kHourMs });
  reader.ReadMilliseconds(
    "own_send_cost_ms", aScheduling.mSentRequestCost, Range{ 0, kHourMs });
  reader.ReadMilliseconds("told_delay_lifetime_ms",
                          aScheduling.mReportedDelayLifetime,
                          Range{ 0, kHourMs });
  reader.ReadMilliseconds("first_token_target_ms",
                          aScheduling.mFirstTokenTarget,
                          Range{ 1, kMinuteMs });
  reader.ReadMilliseconds(
    "token_target_ms", aScheduling.mTokenTarget, Range{ 1, kMinuteMs });
  reader.Read(
    "token_margin_percent", aScheduling.mTokenMarginPercent, Range{ 0, 90 });
  reader.Read("lookahead", aScheduling.mLookahead, Range{ 1, 1000 });
  reader.ReadMilliseconds(
    "prefill_lead_ms", aScheduling.mPrefillLead, Range{ 0, kHourMs });
  reader.ReadMilliseconds("slowness_half_life_ms",
                          aScheduling.mSlownessHalfLife,
                          Range{ 0, kHourMs });
  reader.ReadMilliseconds(
    "probe_interval_ms", aScheduling.mProbeInterval, Range{ 0, kHourMs });
  reader.Read(
    "max_ejected_percent", aScheduling.mMaxEjectedPercent, Range{ 0, 100 });
  reader.ReadMilliseconds(
    "failure_backoff_ms", aScheduling.mFailureBackoff, Range{ 0, kHourMs });
  reader.ReadMilliseconds("failure_backoff_limit_ms",
                          aScheduling.mFailureBackoffLimit,
                          Range{ 0, kHourMs });
  reader.ReadMilliseconds("prefix_hint_lifetime_ms",
                          aScheduling.mPrefixHintLifetime,
                          Range{ 0, kHourMs });
  reader.ReadMilliseconds(
    "report_lifetime_ms", aScheduling.mReportLifetime, Range{ 0, kHourMs });
  reader.ReadMilliseconds(
    "takeover_period_ms", aScheduling.mTakeoverPeriod, Range{ 0, kHourMs });
  reader.Finish();
}

void
ReadLog(const toml::table& aTable,
        Settings& aSettings,
        std::vector<SettingsMistake>& aMistakes)
{
  SettingsReader reader(aTable, "log.", aMistakes);
  reader.ReadOneOf(
    "level", aSettings.mLogLevel, { "debug", "info", "warning", "error" });
  reader.Read("trace_file", aSettings.mTraceFile, Presence::kOptional);
  reader.Finish();
}

} // namespace

SettingsResult
ReadSettings(const std::string& aToml)
{
  SettingsResult result;
  const auto table = ParseSettings(aToml, result.mMistakes);
  if (!table) {
    return result;
  }
  SettingsReader reader(*table, "", result.mMistakes);
  Settings& settings = result.mSettings;
  ReadNode(reader.Table("node"), settings, result.mMistakes);
  ReadPlatform(reader.Table("platform"), settings, result.mMistakes);
  ReadKeys(reader.Table("keys"), settings, result.mMistakes);
  ReadLimits(reader.Table("limits"), settings, result.mMistakes);
  ReadPolicy(reader.Table("policy"), settings.mNode.mPolicy, result.mMistakes);
  NodeSettings& node = settings.mNode;
  ReadMembership(
    reader.Table("membership"), node.mMembership, result.mMistakes);
  ReadConfiguration(
    reader.Table("configuration"), node.mConfiguration, result.mMistakes);
  ReadScheduling(
    reader.Table("scheduling"), node.mPolicy.mScheduling, result.mMistakes);
  ReadLog(reader.Table("log"), settings, result.mMistakes);
  reader.Finish();
  return result;
}

std::string
ToString(const SettingsMistake& aMistake, const std::string& aFile)
{
  std::string text = aFile;
  if (aMistake.mLine > 0) {
    text += ":" + std::to_string(aMistake.mLine);
  }
  if (!aMistake.mKey.empty()) {
    text += ": " + aMistake.mKey;
  }
  return text + ": expected " + aMistake.mExpected;
}

} // namespace heatherfork
