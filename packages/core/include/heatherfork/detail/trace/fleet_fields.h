#pragma once

#include "heatherfork/configuration_settings.h"
#include "heatherfork/detail/trace/fields.h"
#include "heatherfork/effect.h"
#include "heatherfork/event.h"
#include "heatherfork/membership_settings.h"

/// Field lists of membership and of configuration distribution.
namespace heatherfork::detail::trace {

template<>
inline constexpr auto kFields<Member> =
  Fields("Member",
         Field{ "node", &Member::mNode },
         Field{ "zone", &Member::mZone },
         Field{ "caller_address", &Member::mCallerAddress },
         Field{ "peer_address", &Member::mPeerAddress },
         Field{ "status", &Member::mStatus },
         Field{ "epoch", &Member::mEpoch },
         Field{ "generation", &Member::mGeneration },
         Field{ "version", &Member::mVersion },
         Field{ "processor_share", &Member::mProcessorShare });

template<>
inline constexpr auto kFields<Probe> =
  Fields("Probe",
         Field{ "number", &Probe::mNumber },
         Field{ "revision", &Probe::mRevision },
         Field{ "digest", &Probe::mDigest },
         Field{ "gossip", &Probe::mGossip });

template<>
inline constexpr auto kFields<ProbeAck> =
  Fields("ProbeAck",
         Field{ "number", &ProbeAck::mNumber },
         Field{ "revision", &ProbeAck::mRevision },
         Field{ "digest", &ProbeAck::mDigest },
         Field{ "gossip", &ProbeAck::mGossip });

template<>
inline constexpr auto kFields<ProbeRelay> =
  Fields("ProbeRelay",
         Field{ "number", &ProbeRelay::mNumber },
         Field{ "target", &ProbeRelay::mTarget },
         Field{ "address", &ProbeRelay::mAddress });

template<>
inline constexpr auto kFields<ProbeRelayed> =
  Fields("ProbeRelayed",
         Field{ "number", &ProbeRelayed::mNumber },
         Field{ "target", &ProbeRelayed::mTarget });

template<>
inline constexpr auto kFields<SyncRequest> =
  Fields("SyncRequest", Field{ "buckets", &SyncRequest::mBuckets });

template<>
inline constexpr auto kFields<SyncReply> =
  Fields("SyncReply",
         Field{ "wanted", &SyncReply::mWanted },
         Field{ "members", &SyncReply::mMembers });

template<>
inline constexpr auto kFields<PartDigest> =
  Fields("PartDigest",
         Field{ "name", &PartDigest::mName },
         Field{ "digest", &PartDigest::mDigest });

template<>
inline constexpr auto kFields<HeadRequest> =
  Fields("HeadRequest", Field{ "have", &HeadRequest::mKnownRevision });

template<>
inline constexpr auto kFields<HeadReply> =
  Fields("HeadReply",
         Field{ "revision", &HeadReply::mRevision },
         Field{ "base", &HeadReply::mBase },
         Field{ "digest", &HeadReply::mDigest },
         Field{ "changed", &HeadReply::mChanged },
         Field{ "removed", &HeadReply::mRemoved });

template<>
inline constexpr auto kFields<PartRequest> =
  Fields("PartRequest", Field{ "digest", &PartRequest::mDigest });

template<>
inline constexpr auto kFields<PartReply> =
  Fields("PartReply",
         Field{ "digest", &PartReply::mDigest },
         Field{ "found", &PartReply::mFound },
         Field{ "body", &PartReply::mBody });

template<>
inline constexpr auto kFields<PublishedItem> =
  Fields("PublishedItem",
         Field{ "key", &PublishedItem::mKey },
         Field{ "value", &PublishedItem::mValue },
         Field{ "revision", &PublishedItem::mRevision },
         Field{ "is_deleted", &PublishedItem::mIsDeleted });

template<>
inline constexpr auto kFields<CrashedRequest> =
  Fields("CrashedRequest",
         Field{ "fingerprint", &CrashedRequest::mFingerprint },
         Field{ "parts", &CrashedRequest::mParts },
         Field{ "ran_alone", &CrashedRequest::mRanAlone });

template<>
inline constexpr auto kFields<CrashRecord> =
  Fields("CrashRecord",
         Field{ "crash", &CrashRecord::mCrash },
         Field{ "age", &CrashRecord::mAge },
         Field{ "requests", &CrashRecord::mRequests },
         Field{ "sound", &CrashRecord::mSound });

template<>
inline constexpr auto kFields<KnownCrash> =
  Fields("KnownCrash",
         Field{ "crash", &KnownCrash::mCrash },
         Field{ "digest", &KnownCrash::mDigest });

template<>
inline constexpr auto kFields<ContentReport> =
  Fields("ContentReport",
         Field{ "crashes", &ContentReport::mCrashes },
         Field{ "sound", &ContentReport::mSound },
         Field{ "is_list", &ContentReport::mIsList },
         Field{ "known", &ContentReport::mKnown });

template<>
inline constexpr auto kFields<RequestRate> =
  Fields("RequestRate",
         Field{ "per_1000_seconds", &RequestRate::mPer1000Seconds });

template<>
inline constexpr auto kFields<ServerLimit> =
  Fields("ServerLimit",
         Field{ "server", &ServerLimit::mServer },
         Field{ "started_at", &ServerLimit::mStartedAt },
         Field{ "is_named", &ServerLimit::mIsNamed },
         Field{ "rate", &ServerLimit::mRate },
         Field{ "age", &ServerLimit::mAge });

template<>
inline constexpr auto kFields<LimitReport> =
  Fields("LimitReport", Field{ "limits", &LimitReport::mLimits });

template<>
inline constexpr auto kFields<LeavingServer> =
  Fields("LeavingServer",
         Field{ "server", &LeavingServer::mServer },
         Field{ "started_at", &LeavingServer::mStartedAt });

template<>
inline constexpr auto kFields<LeavingReport> =
  Fields("LeavingReport", Field{ "servers", &LeavingReport::mServers });

template<>
inline constexpr auto kFields<KeyProofRequest> =
  Fields("KeyProofRequest", Field{ "number", &KeyProofRequest::mNumber });

template<>
inline constexpr auto kFields<KeyProofReply> =
  Fields("KeyProofReply",
         Field{ "number", &KeyProofReply::mNumber },
         Field{ "revision", &KeyProofReply::mRevision },
         Field{ "age", &KeyProofReply::mAge });

template<>
inline constexpr auto kFields<QuotaNeed> =
  Fields("QuotaNeed",
         Field{ "workspace", &QuotaNeed::mWorkspace },
         Field{ "wanted", &QuotaNeed::mWanted },
         Field{ "smallest", &QuotaNeed::mSmallest },
         Field{ "ahead", &QuotaNeed::mAhead },
         Field{ "returned", &QuotaNeed::mReturned });

template<>
inline constexpr auto kFields<QuotaRequest> =
  Fields("QuotaRequest",
         Field{ "number", &QuotaRequest::mNumber },
         Field{ "needs", &QuotaRequest::mNeeds });

template<>
inline constexpr auto kFields<QuotaCredit> =
  Fields("QuotaCredit",
         Field{ "workspace", &QuotaCredit::mWorkspace },
         Field{ "units", &QuotaCredit::mUnits },
         Field{ "lifetime", &QuotaCredit::mLifetime },
         Field{ "wait", &QuotaCredit::mWait },
         Field{ "backlog", &QuotaCredit::mBacklog });

template<>
inline constexpr auto kFields<QuotaGrant> =
  Fields("QuotaGrant",
         Field{ "number", &QuotaGrant::mNumber },
         Field{ "credits", &QuotaGrant::mCredits });

template<>
inline constexpr auto kFields<PublishedNews> =
  Fields("PublishedNews",
         Field{ "prefix", &PublishedNews::mPrefix },
         Field{ "from", &PublishedNews::mFrom },
         Field{ "at", &PublishedNews::mAt },
         Field{ "items", &PublishedNews::mItems },
         Field{ "era", &PublishedNews::mEra });

template<>
inline constexpr auto kFields<PublishedRequest> =
  Fields("PublishedRequest",
         Field{ "prefix", &PublishedRequest::mPrefix },
         Field{ "have", &PublishedRequest::mKnownRevision },
         Field{ "era", &PublishedRequest::mKnownEra });

template<>
inline constexpr auto kFields<PublishedReply> =
  Fields("PublishedReply",
         Field{ "prefix", &PublishedReply::mPrefix },
         Field{ "at", &PublishedReply::mAt },
         Field{ "items", &PublishedReply::mItems },
         Field{ "era", &PublishedReply::mEra });

template<>
inline constexpr auto kFields<VmRecord> =
  Fields("VmRecord",
         Field{ "name", &VmRecord::mName },
         Field{ "peer_address", &VmRecord::mPeerAddress },
         Field{ "zone", &VmRecord::mZone },
         Field{ "role", &VmRecord::mRole },
         Field{ "leaving", &VmRecord::mLeaving });

template<>
inline constexpr auto kFields<VmListRead> =
  Fields("VmListRead", Field{ "vms", &VmListRead::mVms });

template<>
inline constexpr auto kFields<HeadRead> = Fields("HeadRead",
                                                 Field{ "ok", &HeadRead::mOk },
                                                 Field{ "body",
                                                        &HeadRead::mBody });

template<>
inline constexpr auto kFields<PartRead> =
  Fields("PartRead",
         Field{ "digest", &PartRead::mDigest },
         Field{ "ok", &PartRead::mOk },
         Field{ "body", &PartRead::mBody });

template<>
inline constexpr auto kFields<ReadHead> =
  Fields("ReadHead",
         Field{ "after", &ReadHead::mAfter },
         Field{ "wait", &ReadHead::mWait });

template<>
inline constexpr auto kFields<ReadPart> =
  Fields("ReadPart", Field{ "digest", &ReadPart::mDigest });

template<>
inline constexpr auto kFields<MembershipSettings> = Fields(
  "MembershipSettings",
  Field{ "probe_period", &MembershipSettings::mProbePeriod },
  Field{ "news_period", &MembershipSettings::mNewsPeriod },
  Field{ "ack_timeout", &MembershipSettings::mAckTimeout },
  Field{ "relay_timeout", &MembershipSettings::mRelayTimeout },
  Field{ "suspect_timeout", &MembershipSettings::mSuspectTimeout },
  Field{ "pause_gap", &MembershipSettings::mPauseGap },
  Field{ "join_time", &MembershipSettings::mJoinTime },
  Field{ "seed_interval", &MembershipSettings::mSeedInterval },
  Field{ "dead_probe_interval", &MembershipSettings::mDeadProbeInterval },
  Field{ "dead_retention", &MembershipSettings::mDeadRetention },
  Field{ "sync_delay", &MembershipSettings::mSyncDelay },
  Field{ "sync_interval", &MembershipSettings::mSyncInterval },
  Field{ "relays", &MembershipSettings::mRelays },
  Field{ "max_gossip", &MembershipSettings::mMaxGossip },
  Field{ "gossip_factor", &MembershipSettings::mGossipFactor },
  Field{ "max_sync_buckets", &MembershipSettings::mMaxSyncBuckets },
  Field{ "max_members", &MembershipSettings::mMaxMembers });

template<>
inline constexpr auto kFields<ConfigurationSettings> =
  Fields("ConfigurationSettings",
         Field{ "watch_slot", &ConfigurationSettings::mWatchSlot },
         Field{ "watch_wait", &ConfigurationSettings::mWatchWait },
         Field{ "call_gap", &ConfigurationSettings::mCallGap },
         Field{ "retry_delay", &ConfigurationSettings::mRetryDelay },
         Field{ "call_timeout", &ConfigurationSettings::mCallTimeout },
         Field{ "part_timeout", &ConfigurationSettings::mPartTimeout },
         Field{ "ask_peers_time", &ConfigurationSettings::mAskPeersTime },
         Field{ "peers_asked", &ConfigurationSettings::mPeersAsked },
         Field{ "max_part_reads", &ConfigurationSettings::mMaxPartReads });

} // namespace heatherfork::detail::trace
