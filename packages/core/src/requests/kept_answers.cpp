#include "heatherfork/detail/requests/kept_answers.h"

namespace heatherfork::detail {

const KeptAnswers::Kept*
KeptAnswers::Find(const WorkspaceKey& aKey) const
{
  const auto it = mKept.find(aKey);
  return it == mKept.end() ? nullptr : &it->second;
}

void
KeptAnswers::Keep(const WorkspaceKey& aKey, Kept aKept, std::size_t aMaxAnswers)
{
  Erase(aKey);
  if (aMaxAnswers == 0) {
    return;
  }
  if (mKept.size() >= aMaxAnswers) {
    Erase(WorkspaceKey(mByExpiry.begin()->second));
  }
  mByExpiry.insert({ aKept.mExpires, aKey });
  mKept.emplace(aKey, std::move(aKept));
}

void
KeptAnswers::DropExpired(Instant aNow)
{
  while (!mByExpiry.empty() && mByExpiry.begin()->first < aNow) {
    Erase(WorkspaceKey(mByExpiry.begin()->second));
  }
}

void
KeptAnswers::Erase(const WorkspaceKey& aKey)
{
  const auto it = mKept.find(aKey);
  if (it == mKept.end()) {
    return;
  }
  mByExpiry.erase({ it->second.mExpires, aKey });
  mKept.erase(it);
}

} // namespace heatherfork::detail
