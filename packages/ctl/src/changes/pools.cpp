#include "heatherfork/ctl/detail/change_list.h"

namespace heatherfork::ctl::detail {

namespace {

std::string
TargetOf(const Pool& aPool)
{
  return aPool.mService.Empty() ? "model " + aPool.mModel.mValue
                                : "service " + aPool.mService.mValue;
}

void
DescribePool(const std::string& aSubject,
             const Pool& aOld,
             const Pool& aNew,
             ChangeList& aChanges)
{
  aChanges.AddField(aSubject, "serves", TargetOf(aOld), TargetOf(aNew));
  aChanges.AddField(
    aSubject, "minimum_prefill", aOld.mMinimumPrefill, aNew.mMinimumPrefill);
  aChanges.AddField(
    aSubject, "minimum_decode", aOld.mMinimumDecode, aNew.mMinimumDecode);
}

} // namespace

void
DescribePools(const Configuration& aOld,
              const Configuration& aNew,
              ChangeList& aChanges)
{
  for (const auto& [name, pair] : PairUpByName(aOld.mPools, aNew.mPools)) {
    const std::string subject = "pool " + name;
    if (pair.mNew == nullptr) {
      aChanges.AddLoss(
        Concat(subject, " goes: it served ", TargetOf(*pair.mOld)));
    } else if (pair.mOld == nullptr) {
      aChanges.Add(
        Concat(subject, " is new and serves ", TargetOf(*pair.mNew)));
    } else {
      DescribePool(subject, *pair.mOld, *pair.mNew, aChanges);
    }
  }
}

} // namespace heatherfork::ctl::detail
