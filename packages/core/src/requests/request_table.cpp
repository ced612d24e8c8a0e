#include "heatherfork/detail/requests/request_table.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// Fingerprints may collide, so the content is compared too.
bool
HasSameContent(const Request& aLeft, const Request& aRight)
{
  return aLeft.mWorkspace == aRight.mWorkspace && aLeft.mKind == aRight.mKind &&
         aLeft.mModel == aRight.mModel && aLeft.mAdapter == aRight.mAdapter &&
         aLeft.mService == aRight.mService && aLeft.mCall == aRight.mCall &&
         aLeft.mClass == aRight.mClass &&
         aLeft.mMaxTokens == aRight.mMaxTokens && aLeft.mBody == aRight.mBody;
}

bool
IsRepeatable(const RunningRequest& aRequest)
{
  return !aRequest.mHasRecord && aRequest.mPhase != Phase::kForwarded;
}

template<class Index, class Key>
void
EraseIfOwn(Index& aIndex, const Key& aKey, RequestNumber aNumber)
{
  const auto it = aIndex.find(aKey);
  if (it != aIndex.end() && it->second == aNumber) {
    aIndex.erase(it);
  }
}

} // namespace

RunningRequest&
RequestTable::Insert(RunningRequest aRequest)
{
  const RequestNumber number = mNextNumber++;
  aRequest.mNumber = number;
  auto owned = std::make_unique<RunningRequest>(std::move(aRequest));
  RunningRequest& request = *owned;
  mRequests.emplace(number, std::move(owned));
  for (const Waiter& waiter : request.mWaiters) {
    mByCaller[waiter.mCaller] = number;
  }
  IndexContent(request);
  ++mByWorkspace[request.mRequest.mWorkspace];
  return request;
}

void
RequestTable::IndexContent(const RunningRequest& aRequest)
{
  if (aRequest.mPhase == Phase::kForwarded) {
    return;
  }
  const Request& request = aRequest.mRequest;
  if (!request.mKey.Empty()) {
    auto& index = aRequest.mHasRecord ? mByRecordKey : mByKey;
    index.emplace(WorkspaceKey{ request.mWorkspace, request.mKey },
                  aRequest.mNumber);
  }
  if (IsRepeatable(aRequest)) {
    mByFingerprint.emplace(request.mFingerprint, aRequest.mNumber);
  }
}

void
RequestTable::Erase(RequestNumber aNumber)
{
  const auto it = mRequests.find(aNumber);
  if (it == mRequests.end()) {
    return;
  }
  RunningRequest& running = *it->second;
  const Request& request = running.mRequest;
  for (const Waiter& waiter : running.mWaiters) {
    mByCaller.erase(waiter.mCaller);
  }
  EraseIfOwn(mByAttempt, running.mAttempt.mId, aNumber);
  const WorkspaceKey key{ request.mWorkspace, request.mKey };
  EraseIfOwn(mByKey, key, aNumber);
  EraseIfOwn(mByRecordKey, key, aNumber);
  EraseIfOwn(mByFingerprint, request.mFingerprint, aNumber);
  SetWakeUp(running, Instant::max());
  const auto workspace = mByWorkspace.find(request.mWorkspace);
  if (--workspace->second == 0) {
    mByWorkspace.erase(workspace);
  }
  mRequests.erase(it);
}

RunningRequest*
RequestTable::Find(RequestNumber aNumber)
{
  const auto it = mRequests.find(aNumber);
  return it == mRequests.end() ? nullptr : it->second.get();
}

RunningRequest*
RequestTable::FindByAttempt(const AttemptId& aAttempt)
{
  const auto it = mByAttempt.find(aAttempt);
  return it == mByAttempt.end() ? nullptr : Find(it->second);
}

RunningRequest*
RequestTable::FindByCaller(CallerId aCaller)
{
  const auto it = mByCaller.find(aCaller);
  return it == mByCaller.end() ? nullptr : Find(it->second);
}

RunningRequest*
RequestTable::FindByKey(const WorkspaceKey& aKey)
{
  return FindIn(mByKey, aKey);
}

RunningRequest*
RequestTable::FindByRecordKey(const WorkspaceKey& aKey)
{
  return FindIn(mByRecordKey, aKey);
}

RunningRequest*
RequestTable::FindIn(const std::map<WorkspaceKey, RequestNumber>& aIndex,
                     const WorkspaceKey& aKey)
{
  const auto it = aIndex.find(aKey);
  return it == aIndex.end() ? nullptr : Find(it->second);
}

RunningRequest*
RequestTable::FindSameContent(const Request& aRequest)
{
  const auto it = mByFingerprint.find(aRequest.mFingerprint);
  if (it == mByFingerprint.end()) {
    return nullptr;
  }
  RunningRequest* found = Find(it->second);
  return HasSameContent(found->mRequest, aRequest) ? found : nullptr;
}

void
RequestTable::AddWaiter(RunningRequest& aRequest, const Waiter& aWaiter)
{
  aRequest.mWaiters.push_back(aWaiter);
  mByCaller[aWaiter.mCaller] = aRequest.mNumber;
}

void
RequestTable::RemoveWaiter(RunningRequest& aRequest, CallerId aCaller)
{
  mByCaller.erase(aCaller);
  std::erase_if(aRequest.mWaiters, [aCaller](const Waiter& aWaiter) {
    return aWaiter.mCaller == aCaller;
  });
}

void
RequestTable::SetAttempt(RunningRequest& aRequest, const Attempt& aAttempt)
{
  mByAttempt.erase(aRequest.mAttempt.mId);
  aRequest.mAttempt = aAttempt;
  if (aAttempt.mId.mSequence != 0) {
    mByAttempt[aAttempt.mId] = aRequest.mNumber;
  }
}

void
RequestTable::SetWakeUp(RunningRequest& aRequest, Instant aAt)
{
  const auto it = mWakeUpByRequest.find(aRequest.mNumber);
  if (it != mWakeUpByRequest.end()) {
    mWakeUps.erase({ it->second, aRequest.mNumber });
    mWakeUpByRequest.erase(it);
  }
  if (aAt != Instant::max()) {
    mWakeUps.insert({ aAt, aRequest.mNumber });
    mWakeUpByRequest[aRequest.mNumber] = aAt;
  }
}

std::vector<RequestNumber>
RequestTable::PopDue(Instant aNow)
{
  std::vector<RequestNumber> due;
  while (!mWakeUps.empty() && mWakeUps.begin()->first <= aNow) {
    due.push_back(mWakeUps.begin()->second);
    mWakeUpByRequest.erase(due.back());
    mWakeUps.erase(mWakeUps.begin());
  }
  return due;
}

std::vector<RequestNumber>
RequestTable::Select(
  const std::function<bool(const RunningRequest&)>& aPredicate) const
{
  std::vector<RequestNumber> selected;
  for (const auto& [number, request] : mRequests) {
    if (aPredicate(*request)) {
      selected.push_back(number);
    }
  }
  return selected;
}

int
RequestTable::CountOf(const WorkspaceName& aWorkspace) const
{
  const auto it = mByWorkspace.find(aWorkspace);
  return it == mByWorkspace.end() ? 0 : it->second;
}

} // namespace heatherfork::detail
