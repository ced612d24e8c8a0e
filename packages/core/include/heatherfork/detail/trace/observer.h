#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "heatherfork/detail/requests/key_records.h"
#include "heatherfork/effect.h"
#include "heatherfork/event.h"

/// Tracking of requests, answers and reserved engine memory during a replay.
namespace heatherfork::detail::trace {

/// A caller and the incarnation of the node to which it is connected.
using CallerOfNode = std::pair<NodeId, CallerId>;

/// Collects the facts against which expected outcomes are checked.
class Observer
{
public:
  /// Records an event of a node and its effects.
  void Observe(const NodeId& aNode,
               const EventBody& aBody,
               const Effects& aEffects);

  /// Returns the number of plain service calls for a key that may have reached
  /// a backend server: sent, and not reported as not sent, refused or
  /// cancelled.
  int ArrivalCount(const WorkspaceKey& aKey) const;

  /// Returns all answers to a caller.
  std::vector<Answer> AnswersOf(const CallerOfNode& aCaller) const;

  /// Returns the violated invariants: a caller answered twice or without a
  /// request, "not-run" for a call that may have run, a key that may have run
  /// more than once.
  std::vector<std::string> Violations() const;

  /// Returns the attempts that may hold memory at a backend server.
  std::vector<std::string> HeldAttempts() const;

private:
  /// Name and body of a plain service call.
  using CallBody = std::pair<std::string, std::string>;
  using HeldAttempt = std::pair<AttemptId, ServerName>;

  void OnEvent(const NodeId& aNode, const CallerRequested& aEvent);
  void OnEvent(const NodeId& aNode, const ServerReplied& aEvent);
  void OnEffect(const NodeId& aNode, const AnswerCaller& aEffect);
  void OnEffect(const NodeId& aNode, const CallServer& aEffect);
  void Release(const ServerReplied& aReplied);
  void ReleaseRange(const ServerName& aServer, const CancelRangeCall& aRange);
  bool MayHaveArrived(const Request& aRequest) const;

  std::map<CallerOfNode, Request> mRequests;
  std::map<CallerOfNode, std::vector<Answer>> mAnswers;
  std::map<CallBody, int> mArrivalCounts;
  std::set<HeldAttempt> mHeldAttempts;
};

} // namespace heatherfork::detail::trace
