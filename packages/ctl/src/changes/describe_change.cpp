#include "heatherfork/ctl/detail/change_list.h"

namespace heatherfork::ctl {

namespace {

using detail::ChangeList;

/// Nodes accept a revision only if it is above the active one.
void
DescribeRevision(const Configuration& aOld,
                 const Configuration& aNew,
                 ChangeList& aChanges)
{
  if (aNew.mRevision > aOld.mRevision) {
    aChanges.AddField("revision",
                      "changes",
                      std::to_string(aOld.mRevision),
                      std::to_string(aNew.mRevision));
    return;
  }
  aChanges.AddLoss(detail::Concat("revision ",
                                  aNew.mRevision,
                                  " is not above ",
                                  aOld.mRevision,
                                  ": nodes don't take it"));
}

} // namespace

std::vector<Change>
DescribeChange(const Configuration& aOld, const Configuration& aNew)
{
  ChangeList changes;
  if (aOld == aNew) {
    return changes.Take();
  }
  DescribeRevision(aOld, aNew, changes);
  detail::DescribeServers(aOld, aNew, changes);
  detail::DescribePools(aOld, aNew, changes);
  detail::DescribeWorkspaces(aOld, aNew, changes);
  detail::DescribeModels(aOld, aNew, changes);
  detail::DescribeServices(aOld, aNew, changes);
  detail::DescribeClasses(aOld, aNew, changes);
  detail::DescribeLimits(aOld.mLimits, aNew.mLimits, changes);
  return changes.Take();
}

} // namespace heatherfork::ctl
