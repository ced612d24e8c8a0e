#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "heatherfork/detail/requests/key_records.h"
#include "heatherfork/detail/requests/running_request.h"

/// The running requests of one node and the ways to find one.
namespace heatherfork::detail {

/// Owns the running requests. All look-ups are O(log n).
class RequestTable
{
public:
  /// Adds a request; its number is set here.
  RunningRequest& Insert(RunningRequest aRequest);

  /// Removes a request with all its indexes.
  void Erase(RequestNumber aNumber);

  RunningRequest* Find(RequestNumber aNumber);
  RunningRequest* FindByAttempt(const AttemptId& aAttempt);
  RunningRequest* FindByCaller(CallerId aCaller);
  /// A repeatable request by its key.
  RunningRequest* FindByKey(const WorkspaceKey& aKey);

  /// A request with a record by its key. The two kinds of keys never meet.
  RunningRequest* FindByRecordKey(const WorkspaceKey& aKey);

  /// A repeatable request with the same content; null when there is none.
  RunningRequest* FindEqual(const Request& aRequest);

  /// Adds a caller to those who wait.
  void AddWaiter(RunningRequest& aRequest, const Waiter& aWaiter);

  /// Removes a caller from those who wait.
  void RemoveWaiter(RunningRequest& aRequest, CallerId aCaller);

  /// Replaces the attempt, so that events of the earlier one find nothing.
  void SetAttempt(RunningRequest& aRequest, const Attempt& aAttempt);

  /// Sets when the request is looked at again.
  void SetWakeUp(RunningRequest& aRequest, Instant aAt);

  /// Numbers of the requests that are due; removes their wake-up times.
  std::vector<RequestNumber> TakeDue(Instant aNow);

  /// Numbers of the requests for which the predicate holds, in their order.
  std::vector<RequestNumber> Select(
    const std::function<bool(const RunningRequest&)>& aPredicate) const;

  /// Requests of a workspace at this node.
  int CountOf(const WorkspaceName& aWorkspace) const;

  std::size_t Size() const { return mRequests.size(); }

private:
  RunningRequest* FindIn(const std::map<WorkspaceKey, RequestNumber>& aIndex,
                         const WorkspaceKey& aKey);
  void IndexContent(const RunningRequest& aRequest);

  RequestNumber mNextNumber = 1;
  std::map<RequestNumber, std::unique_ptr<RunningRequest>> mRequests;
  std::map<AttemptId, RequestNumber> mByAttempt;
  std::map<CallerId, RequestNumber> mByCaller;
  std::map<WorkspaceKey, RequestNumber> mByKey;
  std::map<WorkspaceKey, RequestNumber> mByRecordKey;
  std::map<std::uint64_t, RequestNumber> mByFingerprint;
  std::set<std::pair<Instant, RequestNumber>> mWakeUps;
  std::map<RequestNumber, Instant> mWakeUpOf;
  std::map<WorkspaceName, int> mByWorkspace;
};

} // namespace heatherfork::detail
