#include "heatherfork/detail/relay/leaving_replicas.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

constexpr std::size_t kMaxMarks = 8192;

} // namespace

// A replica may start again under its name, so the latest start holds.
bool
LeavingReplicas::Add(Instant aNow, const LeavingServer& aServer)
{
  const auto [it, isNew] = mMarks.try_emplace(aServer.mServer);
  if (!isNew && it->second.mStartedAt >= aServer.mStartedAt) {
    return false;
  }
  it->second = { aServer.mStartedAt, aNow };
  if (mMarks.size() > kMaxMarks) {
    mMarks.erase(std::min_element(
      mMarks.begin(), mMarks.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.mAddedAt < aTwo.second.mAddedAt;
      }));
  }
  return true;
}

bool
LeavingReplicas::Contains(const Replica& aReplica) const
{
  const auto it = mMarks.find(aReplica.mName);
  return it != mMarks.end() && it->second.mStartedAt == aReplica.mStartedAt;
}

// Without a start in the entry, the next incarnation can't be distinguished, so
// the mark is removed with the entry.
void
LeavingReplicas::OnPublished(Instant aNow, const Replicas& aPublished)
{
  for (const Replica& replica : aPublished) {
    if (replica.mLeaving && replica.mStartedAt != 0) {
      Add(aNow, { replica.mName, replica.mStartedAt });
    }
  }
  std::erase_if(mMarks, [&](const auto& aItem) {
    return aItem.second.mStartedAt == 0 &&
           FindReplica(aPublished, aItem.first) == nullptr;
  });
}

} // namespace heatherfork::detail
