#pragma once

#include "heatherfork/configuration.h"
#include "heatherfork/detail/trace/fields.h"
#include "heatherfork/node_settings.h"

/// Field lists of the configuration and the settings.
namespace heatherfork::detail::trace {

template<>
inline constexpr auto kFields<WorkClass> =
  Fields("WorkClass",
         Field{ "name", &WorkClass::mName },
         Field{ "may_wait", &WorkClass::mMayWait },
         Field{ "must_not_repeat", &WorkClass::mMustNotRepeat },
         Field{ "deadline", &WorkClass::mDeadline },
         Field{ "priority", &WorkClass::mPriority });

template<>
inline constexpr auto kFields<Model> =
  Fields("Model",
         Field{ "name", &Model::mName },
         Field{ "version", &Model::mVersion },
         Field{ "adapters", &Model::mAdapters },
         Field{ "default_class", &Model::mDefaultClass },
         Field{ "next_version", &Model::mNextVersion },
         Field{ "next_share", &Model::mNextShare });

template<>
inline constexpr auto kFields<BackendServer> =
  Fields("BackendServer",
         Field{ "name", &BackendServer::mName },
         Field{ "address", &BackendServer::mAddress },
         Field{ "zone", &BackendServer::mZone },
         Field{ "role", &BackendServer::mRole },
         Field{ "slots", &BackendServer::mSlots },
         Field{ "pieces", &BackendServer::mPieces },
         Field{ "checks_fencing", &BackendServer::mChecksFencing },
         Field{ "leaving", &BackendServer::mLeaving });

template<>
inline constexpr auto kFields<Pool> =
  Fields("Pool",
         Field{ "name", &Pool::mName },
         Field{ "model", &Pool::mModel },
         Field{ "service", &Pool::mService },
         Field{ "minimum_prefill", &Pool::mMinimumPrefill },
         Field{ "minimum_decode", &Pool::mMinimumDecode },
         Field{ "servers", &Pool::mServers });

template<>
inline constexpr auto kFields<ServiceCall> =
  Fields("ServiceCall",
         Field{ "service", &ServiceCall::mService },
         Field{ "call", &ServiceCall::mCall },
         Field{ "class", &ServiceCall::mClass });

template<>
inline constexpr auto kFields<Workspace> =
  Fields("Tenant",
         Field{ "name", &Workspace::mName },
         Field{ "key_digest", &Workspace::mKeyDigest },
         Field{ "max_in_flight", &Workspace::mMaxInFlight },
         Field{ "weight", &Workspace::mWeight });

template<>
inline constexpr auto kFields<Limits> =
  Fields("Limits",
         Field{ "entries_validity", &Limits::mEntriesValidity },
         Field{ "record_retention", &Limits::mRecordRetention },
         Field{ "max_records", &Limits::mMaxRecords },
         Field{ "max_queued", &Limits::mMaxQueued },
         Field{ "result_lifetime", &Limits::mResultLifetime },
         Field{ "tokens_per_piece", &Limits::mTokensPerPiece },
         Field{ "weight_loads_at_once", &Limits::mWeightLoadsAtOnce });

template<>
inline constexpr auto kFields<Configuration> =
  Fields("Configuration",
         Field{ "revision", &Configuration::mRevision },
         Field{ "classes", &Configuration::mClasses },
         Field{ "models", &Configuration::mModels },
         Field{ "pools", &Configuration::mPools },
         Field{ "calls", &Configuration::mCalls },
         Field{ "tenants", &Configuration::mWorkspaces },
         Field{ "limits", &Configuration::mLimits });

template<>
inline constexpr auto kFields<SchedulingSettings> = Fields(
  "SchedulingSettings",
  Field{ "shard_servers", &SchedulingSettings::mShardServers },
  Field{ "other_zone_cost", &SchedulingSettings::mOtherZoneCost },
  Field{ "own_send_cost", &SchedulingSettings::mSentRequestCost },
  Field{ "told_delay_lifetime", &SchedulingSettings::mReportedDelayLifetime },
  Field{ "first_token_target", &SchedulingSettings::mFirstTokenTarget },
  Field{ "token_target", &SchedulingSettings::mTokenTarget },
  Field{ "token_margin_percent", &SchedulingSettings::mTokenMarginPercent },
  Field{ "lookahead", &SchedulingSettings::mLookahead },
  Field{ "prefill_lead", &SchedulingSettings::mPrefillLead },
  Field{ "slow_tolerated", &SchedulingSettings::mToleratedSlowness },
  Field{ "slow_from", &SchedulingSettings::mStragglerThreshold },
  Field{ "slowness_half_life", &SchedulingSettings::mSlownessHalfLife },
  Field{ "probe_interval", &SchedulingSettings::mProbeInterval },
  Field{ "max_ejected_percent", &SchedulingSettings::mMaxEjectedPercent },
  Field{ "failure_backoff", &SchedulingSettings::mFailureBackoff },
  Field{ "failure_backoff_limit", &SchedulingSettings::mFailureBackoffLimit },
  Field{ "prefix_hint_lifetime", &SchedulingSettings::mPrefixHintLifetime },
  Field{ "report_lifetime", &SchedulingSettings::mReportLifetime },
  Field{ "takeover_period", &SchedulingSettings::mTakeoverPeriod },
  Field{ "use_stragglers", &SchedulingSettings::mUseStragglerDetection },
  Field{ "use_prefix_hints", &SchedulingSettings::mUsePrefixHints },
  Field{ "use_fairness", &SchedulingSettings::mUseFairness },
  Field{ "use_targets", &SchedulingSettings::mUseTargets },
  Field{ "use_batch_limit", &SchedulingSettings::mUseBatchLimit },
  Field{ "use_late_binding", &SchedulingSettings::mUseLateBinding });

template<>
inline constexpr auto kFields<PolicySettings> =
  Fields("PolicySettings",
         Field{ "timer_interval", &PolicySettings::mTimerInterval },
         Field{ "placement_timeout", &PolicySettings::mPlacementTimeout },
         Field{ "reserve_timeout", &PolicySettings::mReserveTimeout },
         Field{ "prefill_timeout", &PolicySettings::mPrefillTimeout },
         Field{ "transfer_timeout", &PolicySettings::mTransferTimeout },
         Field{ "token_timeout", &PolicySettings::mTokenTimeout },
         Field{ "late_answer_wait", &PolicySettings::mLateAnswerWait },
         Field{ "cancel_retry", &PolicySettings::mCancelRetry },
         Field{ "cancel_give_up", &PolicySettings::mCancelGiveUp },
         Field{ "answer_retention", &PolicySettings::mAnswerRetention },
         Field{ "max_kept_answers", &PolicySettings::mMaxKeptAnswers },
         Field{ "max_tombstones", &PolicySettings::mMaxTombstones },
         Field{ "max_attempts", &PolicySettings::mMaxAttempts },
         Field{ "retry_budget_percent", &PolicySettings::mRetryBudgetPercent },
         Field{ "scheduling", &PolicySettings::mScheduling });

template<>
inline constexpr auto kFields<NodeSettings> =
  Fields("NodeSettings",
         Field{ "self", &NodeSettings::mSelf },
         Field{ "zone", &NodeSettings::mZone },
         Field{ "caller_address", &NodeSettings::mCallerAddress },
         Field{ "peer_address", &NodeSettings::mPeerAddress },
         Field{ "processor_share", &NodeSettings::mProcessorShare },
         Field{ "seed", &NodeSettings::mSeed },
         Field{ "seeds", &NodeSettings::mSeeds },
         Field{ "policy", &NodeSettings::mPolicy },
         Field{ "membership", &NodeSettings::mMembership },
         Field{ "configuration", &NodeSettings::mConfiguration });

} // namespace heatherfork::detail::trace
