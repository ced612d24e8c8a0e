#include "heatherfork/ctl/detail/change_list.h"

namespace heatherfork::ctl::detail {

namespace {

/// Describes the start, progress and end of the rollout of a version.
void
DescribeRollout(const std::string& aSubject,
                const Model& aOld,
                const Model& aNew,
                ChangeList& aChanges)
{
  const std::string& before = aOld.mNextVersion.mValue;
  const std::string& after = aNew.mNextVersion.mValue;
  if (before == after) {
    aChanges.AddField(aSubject + ": next version " + after,
                      "share_percent",
                      aOld.mNextShare,
                      aNew.mNextShare);
    return;
  }
  if (!before.empty() && before != aNew.mVersion.mValue) {
    aChanges.AddLoss(
      Concat(aSubject, ": next version ", before, " is withdrawn"));
  }
  if (!after.empty()) {
    aChanges.Add(Concat(aSubject,
                        ": next version ",
                        after,
                        " gets ",
                        aNew.mNextShare,
                        " percent of the traffic"));
  }
}

void
DescribeAdapters(const std::string& aSubject,
                 const Model& aOld,
                 const Model& aNew,
                 ChangeList& aChanges)
{
  const auto pairs =
    PairUp(aOld.mAdapters, aNew.mAdapters, [](const AdapterName& aName) {
      return aName.mValue;
    });
  for (const auto& [name, pair] : pairs) {
    if (pair.mNew == nullptr) {
      aChanges.AddLoss(Concat(
        aSubject, ": adapter ", name, " goes: requests for it are refused"));
    } else if (pair.mOld == nullptr) {
      aChanges.Add(Concat(aSubject, ": adapter ", name, " is new"));
    }
  }
}

void
DescribeModel(const std::string& aSubject,
              const Model& aOld,
              const Model& aNew,
              ChangeList& aChanges)
{
  aChanges.AddField(
    aSubject, "version", aOld.mVersion.mValue, aNew.mVersion.mValue);
  DescribeRollout(aSubject, aOld, aNew, aChanges);
  DescribeAdapters(aSubject, aOld, aNew, aChanges);
  aChanges.AddField(aSubject,
                    "default_class",
                    aOld.mDefaultClass.mValue,
                    aNew.mDefaultClass.mValue);
}

} // namespace

void
DescribeModels(const Configuration& aOld,
               const Configuration& aNew,
               ChangeList& aChanges)
{
  for (const auto& [name, pair] : PairUpByName(aOld.mModels, aNew.mModels)) {
    const std::string subject = "model " + name;
    if (pair.mNew == nullptr) {
      aChanges.AddLoss(subject + " goes: requests for it are refused");
    } else if (pair.mOld == nullptr) {
      aChanges.Add(
        Concat(subject, " is new, version ", pair.mNew->mVersion.mValue));
    } else {
      DescribeModel(subject, *pair.mOld, *pair.mNew, aChanges);
    }
  }
}

} // namespace heatherfork::ctl::detail
