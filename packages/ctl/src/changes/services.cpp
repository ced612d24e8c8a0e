#include "heatherfork/ctl/detail/change_list.h"

namespace heatherfork::ctl::detail {

void
DescribeServices(const Configuration& aOld,
                 const Configuration& aNew,
                 ChangeList& aChanges)
{
  const auto pairs =
    PairUp(aOld.mCalls, aNew.mCalls, [](const ServiceCall& aCall) {
      return Concat(aCall.mService.mValue, "/", aCall.mCall);
    });
  for (const auto& [name, pair] : pairs) {
    const std::string subject = "call " + name;
    if (pair.mNew == nullptr) {
      aChanges.AddLoss(subject + " goes: requests for it are refused");
    } else if (pair.mOld == nullptr) {
      aChanges.Add(
        Concat(subject, " is new, class ", pair.mNew->mClass.mValue));
    } else {
      aChanges.AddField(
        subject, "class", pair.mOld->mClass.mValue, pair.mNew->mClass.mValue);
    }
  }
}

} // namespace heatherfork::ctl::detail
