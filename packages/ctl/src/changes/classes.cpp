#include "heatherfork/ctl/detail/change_list.h"

namespace heatherfork::ctl::detail {

namespace {

void
DescribeClass(const std::string& aSubject,
              const WorkClass& aOld,
              const WorkClass& aNew,
              ChangeList& aChanges)
{
  aChanges.AddFlag(aSubject, "may wait", aOld.mMayWait, aNew.mMayWait);
  aChanges.AddFlag(
    aSubject, "must not repeat", aOld.mMustNotRepeat, aNew.mMustNotRepeat);
  aChanges.AddField(aSubject,
                    "deadline_ms",
                    ToMilliseconds(aOld.mDeadline),
                    ToMilliseconds(aNew.mDeadline));
  aChanges.AddField(aSubject, "priority", aOld.mPriority, aNew.mPriority);
}

} // namespace

void
DescribeClasses(const Configuration& aOld,
                const Configuration& aNew,
                ChangeList& aChanges)
{
  for (const auto& [name, pair] : PairUpByName(aOld.mClasses, aNew.mClasses)) {
    const std::string subject = "class " + name;
    if (pair.mNew == nullptr) {
      aChanges.AddLoss(subject + " goes: requests that name it are refused");
    } else if (pair.mOld == nullptr) {
      aChanges.Add(subject + " is new");
    } else {
      DescribeClass(subject, *pair.mOld, *pair.mNew, aChanges);
    }
  }
}

} // namespace heatherfork::ctl::detail
