#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "heatherfork/detail/requests/key_records.h"
#include "heatherfork/detail/requests/running_request.h"

/// The running requests of one node and their indexes.
namespace heatherfork::detail {

/// Owns the running requests. All lookups are O(log n).
class RequestTable
{
public:
  /// Adds a request and assigns its number.
  RunningRequest& Insert(RunningRequest aRequest);

  /// Removes a request from the table and all indexes.
  void Erase(RequestNumber aNumber);

  RunningRequest* Find(RequestNumber aNumber);
  RunningRequest* FindByAttempt(const AttemptId& aAttempt);
  RunningRequest* FindByCaller(CallerId aCaller);

  /// Finds a repeatable request by its key.
  RunningRequest* FindByKey(const WorkspaceKey& aKey);

  /// Finds a request that has a record by its key. The keys of the two kinds
  /// are separate.
  RunningRequest* FindByRecordKey(const WorkspaceKey& aKey);

  /// Finds a repeatable request with the same content.
  RunningRequest* FindSameContent(const Request& aRequest);

  /// Adds a caller as a waiter of the request.
  void AddWaiter(RunningRequest& aRequest, const Waiter& aWaiter);

  void RemoveWaiter(RunningRequest& aRequest, CallerId aCaller);

  /// Replaces the attempt. Later events of the previous one match no request.
  void SetAttempt(RunningRequest& aRequest, const Attempt& aAttempt);

  /// Sets the wake-up time of a request; Instant::max() removes it.
  void SetWakeUp(RunningRequest& aRequest, Instant aAt);

  /// Removes the wake-up times that are due and returns their requests.
  std::vector<RequestNumber> PopDue(Instant aNow);

  /// The requests that satisfy the predicate, in ascending order.
  std::vector<RequestNumber> Select(
    const std::function<bool(const RunningRequest&)>& aPredicate) const;

  /// Number of running requests of a workspace at this node.
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
  std::map<RequestNumber, Instant> mWakeUpByRequest;
  std::map<WorkspaceName, int> mByWorkspace;
};

} // namespace heatherfork::detail
