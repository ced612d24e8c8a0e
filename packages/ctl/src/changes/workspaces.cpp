#include "heatherfork/ctl/detail/change_list.h"

namespace heatherfork::ctl::detail {

namespace {

void
DescribeWorkspace(const std::string& aSubject,
                  const Workspace& aOld,
                  const Workspace& aNew,
                  ChangeList& aChanges)
{
  if (aOld.mKeyDigest != aNew.mKeyDigest) {
    aChanges.AddLoss(aSubject + " gets another key: the old one is refused");
  }
  aChanges.AddField(
    aSubject, "max_in_flight", aOld.mMaxInFlight, aNew.mMaxInFlight);
  aChanges.AddField(aSubject, "weight", aOld.mWeight, aNew.mWeight);
}

} // namespace

void
DescribeWorkspaces(const Configuration& aOld,
                   const Configuration& aNew,
                   ChangeList& aChanges)
{
  for (const auto& [name, pair] :
       PairUpByName(aOld.mWorkspaces, aNew.mWorkspaces)) {
    const std::string subject = "tenant " + name;
    if (pair.mNew == nullptr) {
      aChanges.AddLoss(subject + " loses access: its requests are refused");
    } else if (pair.mOld == nullptr) {
      aChanges.Add(subject + " gets access");
    } else {
      DescribeWorkspace(subject, *pair.mOld, *pair.mNew, aChanges);
    }
  }
}

} // namespace heatherfork::ctl::detail
