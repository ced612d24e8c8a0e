#include "heatherfork/detail/relay/check_routing.h"

#include "heatherfork/detail/relay/finding_list.h"

namespace heatherfork::detail {

namespace {

void
CheckCallerLimits(const CallerLimits& aLimits, FindingList& aFindings)
{
  aFindings.SetPart("limits");
  if (aLimits.mMaxHeaderBytes == 0) {
    aFindings.Error("heads of at most 0 bytes refuse every request");
  }
  if (aLimits.mMaxBodyBytes == 0) {
    aFindings.Warn("bodies of at most 0 bytes refuse every request with one");
  }
  if (aLimits.mHeaderTimeout <= Duration{}) {
    aFindings.Error("a timeout of 0 ms for heads refuses every request");
  }
  if (aLimits.mIdleTimeout <= Duration{}) {
    aFindings.Warn("an idle timeout of 0 ms closes every kept connection");
  } else if (aLimits.mHeaderTimeout > aLimits.mIdleTimeout) {
    aFindings.Warn(
      "timeout of " + std::to_string(ToMilliseconds(aLimits.mHeaderTimeout)) +
      " ms for heads exceeds the idle timeout of " +
      std::to_string(ToMilliseconds(aLimits.mIdleTimeout)) + " ms");
  }
}

} // namespace

RoutingFindings
CheckRouting(const Routing& aRouting)
{
  FindingList findings;
  CheckRoutes(aRouting, findings);
  CheckWorkspaces(aRouting, findings);
  CheckCallerLimits(aRouting.mLimits, findings);
  return findings.Take();
}

} // namespace heatherfork::detail
