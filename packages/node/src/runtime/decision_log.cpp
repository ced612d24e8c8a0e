#include "heatherfork/detail/runtime/decision_log.h"

namespace heatherfork::detail {

void
DecisionLog::Add(CallerId aCaller, std::string aText)
{
  const std::lock_guard lock(mMutex);
  const auto [it, isNew] = mDecisions.try_emplace(aCaller);
  if (isNew) {
    mInsertionOrder.push_back(aCaller);
  }
  if (it->second.size() < kMaxDecisions) {
    it->second.push_back(std::move(aText));
  }
  if (mInsertionOrder.size() > kMaxRequests) {
    mDecisions.erase(mInsertionOrder.front());
    mInsertionOrder.pop_front();
  }
}

std::vector<std::string>
DecisionLog::Find(CallerId aCaller) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mDecisions.find(aCaller);
  return it == mDecisions.end() ? std::vector<std::string>{} : it->second;
}

} // namespace heatherfork::detail
