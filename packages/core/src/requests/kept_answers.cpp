#include "heatherfork/detail/requests/kept_answers.h"

namespace heatherfork::detail {

const KeptAnswers::Entry*
KeptAnswers::Find(const WorkspaceKey& aKey) const
{
  const auto it = mEntries.find(aKey);
  return it == mEntries.end() ? nullptr : &it->second;
}

void
KeptAnswers::Keep(const WorkspaceKey& aKey,
                  Entry aEntry,
                  std::size_t aMaxAnswers)
{
  Erase(aKey);
  if (aMaxAnswers == 0) {
    return;
  }
  if (mEntries.size() >= aMaxAnswers) {
    Erase(WorkspaceKey(mByExpiry.begin()->second));
  }
  mByExpiry.insert({ aEntry.mExpires, aKey });
  mEntries.emplace(aKey, std::move(aEntry));
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
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end()) {
    return;
  }
  mByExpiry.erase({ it->second.mExpires, aKey });
  mEntries.erase(it);
}

} // namespace heatherfork::detail
