#include "heatherfork/ctl/detail/change_list.h"

namespace heatherfork::ctl::detail {

void
DescribeLimits(const Limits& aOld, const Limits& aNew, ChangeList& aChanges)
{
  const auto add =
    [&](std::string_view aField, auto aOldValue, auto aNewValue) {
      aChanges.AddField("limits",
                        aField,
                        static_cast<std::int64_t>(aOldValue),
                        static_cast<std::int64_t>(aNewValue));
    };
  add("entries_validity_ms",
      ToMilliseconds(aOld.mEntriesValidity),
      ToMilliseconds(aNew.mEntriesValidity));
  add("record_retention_ms",
      ToMilliseconds(aOld.mRecordRetention),
      ToMilliseconds(aNew.mRecordRetention));
  add("max_records", aOld.mMaxRecords, aNew.mMaxRecords);
  add("max_queued", aOld.mMaxQueued, aNew.mMaxQueued);
  add("result_lifetime_ms",
      ToMilliseconds(aOld.mResultLifetime),
      ToMilliseconds(aNew.mResultLifetime));
  add("tokens_per_piece", aOld.mTokensPerPiece, aNew.mTokensPerPiece);
  add("weight_loads_at_once", aOld.mWeightLoadsAtOnce, aNew.mWeightLoadsAtOnce);
}

} // namespace heatherfork::ctl::detail
