#include "heatherfork/detail/membership/prober.h"

#include <algorithm>

namespace heatherfork::detail {

std::uint64_t
Prober::Open(const OpenProbe& aProbe)
{
  mOpen.emplace(++mLastNumber, aProbe);
  return mLastNumber;
}

OpenProbe
Prober::CloseAnswered(std::uint64_t aNumber, const NodeId& aFrom)
{
  const auto it = mOpen.find(aNumber);
  if (it == mOpen.end() || it->second.mTarget != aFrom) {
    return {};
  }
  OpenProbe probe = it->second;
  mOpen.erase(it);
  return probe;
}

void
Prober::CloseRelayed(std::uint64_t aNumber, const NodeId& aTarget)
{
  const auto it = mOpen.find(aNumber);
  if (it != mOpen.end() && it->second.mTarget == aTarget) {
    mOpen.erase(it);
  }
}

std::vector<NumberedProbe>
Prober::TakeUnanswered(const MembershipSettings& aSettings, Instant aNow)
{
  std::vector<NumberedProbe> unanswered;
  for (auto& [number, probe] : mOpen) {
    const bool isOwn = probe.mRequester.mIncarnation == 0;
    if (isOwn && !probe.mIsRelayed &&
        aNow - probe.mSentAt >= aSettings.mAckTimeout) {
      probe.mIsRelayed = true;
      unanswered.push_back(NumberedProbe{ number, probe });
    }
  }
  return unanswered;
}

std::vector<NodeId>
Prober::TakeFailed(const MembershipSettings& aSettings, Instant aNow)
{
  std::vector<NodeId> failed;
  const Duration allowed = aSettings.mAckTimeout + aSettings.mRelayTimeout;
  std::erase_if(mOpen, [&](const auto& aItem) {
    const OpenProbe& probe = aItem.second;
    if (aNow - probe.mSentAt < allowed) {
      return false;
    }
    if (probe.mRequester.mIncarnation == 0) {
      failed.push_back(probe.mTarget);
    }
    return true;
  });
  return failed;
}

bool
Prober::IsProbing(const NodeId& aTarget) const
{
  return std::any_of(mOpen.begin(), mOpen.end(), [&](const auto& aItem) {
    return aItem.second.mTarget == aTarget &&
           aItem.second.mRequester.mIncarnation == 0;
  });
}

} // namespace heatherfork::detail
