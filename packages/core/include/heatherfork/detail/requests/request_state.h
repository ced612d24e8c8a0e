#pragma once

#include "heatherfork/detail/context.h"
#include "heatherfork/detail/requests/crash_suspects.h"
#include "heatherfork/detail/requests/kept_answers.h"
#include "heatherfork/detail/requests/key_records.h"
#include "heatherfork/detail/requests/pending_cancels.h"
#include "heatherfork/detail/requests/request_table.h"
#include "heatherfork/detail/requests/retry_budget.h"
#include "heatherfork/detail/scheduling/shard_chooser.h"

/// State shared by the parts of the request sub-reducer.
namespace heatherfork::detail {

/// The state of all requests at one node.
struct RequestState
{
  RequestTable mTable;
  KeyRecords mRecords;
  KeptAnswers mAnswers;
  PendingCancels mCancels;
  RetryBudget mBudget;
  CrashSuspects mSuspects;
  ShardChooser mShards;
  std::uint32_t mEpoch = 0;
  std::uint32_t mAttemptCount = 0;
  bool mIsLeaving = false;
};

/// The limits of key records, from the current configuration and settings.
KeyRecordLimits
RecordLimits(const Context& aContext);

/// When a crash suspect that is recorded now expires.
Instant
SuspectExpiry(const Context& aContext);

} // namespace heatherfork::detail
