#include "heatherfork/detail/relay/leaving_replicas.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

constexpr std::size_t kMaxMarks = 8192;

} // namespace

// A replica may start again under its name, so the latest start holds. One
// without a start can't be told apart from its next one.
bool
LeavingReplicas::Add(Instant aNow,
                     const ServerName& aServer,
                     std::int64_t aStartedAt)
{
  if (aStartedAt == 0) {
    return false;
  }
  const auto [it, isNew] = mMarks.try_emplace(aServer);
  if (!isNew && it->second.mStartedAt >= aStartedAt) {
    return false;
  }
  it->second = { aStartedAt, aNow };
  if (mMarks.size() > kMaxMarks) {
    mMarks.erase(std::min_element(mMarks.begin(),
                                  mMarks.end(),
                                  [](const auto& aOne, const auto& aTwo) {
                                    return aOne.second.mAddedAt <
                                           aTwo.second.mAddedAt;
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

} // namespace heatherfork::detail
