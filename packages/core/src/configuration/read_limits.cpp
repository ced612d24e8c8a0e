#include "heatherfork/detail/configuration/object_reader.h"
#include "heatherfork/detail/configuration/read_parts.h"

namespace heatherfork::detail {

namespace {

constexpr IntegerRange kEntriesValidityMsRange{ 100, 600000 };
constexpr IntegerRange kRecordRetentionMsRange{ 1000, 86400000 };
constexpr IntegerRange kMaxRecordsRange{ 1, 10000000 };
constexpr IntegerRange kMaxQueuedRange{ 0, 1000000 };
constexpr IntegerRange kResultLifetimeMsRange{ 10, 60000 };
constexpr IntegerRange kTokensPerPieceRange{ 1, 1000000 };
constexpr IntegerRange kWeightLoadsAtOnceRange{ 1, 1000 };

} // namespace

void
ReadLimits(const json::Value& aPart, Draft& aDraft, MistakeList& aMistakes)
{
  ObjectReader part(aPart, DocumentLocation{ "limits", "" }, aMistakes);
  const auto milliseconds = [&part](std::string_view aKey,
                                    IntegerRange aRange) {
    return Milliseconds(part.Integer(aKey, aRange));
  };
  Limits limits;
  limits.mEntriesValidity =
    milliseconds("entries_validity_ms", kEntriesValidityMsRange);
  limits.mRecordRetention =
    milliseconds("record_retention_ms", kRecordRetentionMsRange);
  limits.mMaxRecords =
    static_cast<std::size_t>(part.Integer("max_records", kMaxRecordsRange));
  limits.mMaxQueued =
    static_cast<std::size_t>(part.Integer("max_queued", kMaxQueuedRange));
  limits.mResultLifetime =
    milliseconds("result_lifetime_ms", kResultLifetimeMsRange);
  limits.mTokensPerPiece =
    static_cast<int>(part.Integer("tokens_per_piece", kTokensPerPieceRange));
  limits.mWeightLoadsAtOnce = static_cast<int>(
    part.Integer("weight_loads_at_once", kWeightLoadsAtOnceRange));
  part.Finish();
  aDraft.mConfiguration.mLimits = limits;
  aDraft.mHasLimits = true;
}

} // namespace heatherfork::detail
