#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "heatherfork/detail/requests/key_records.h"
#include "heatherfork/effect.h"
#include "heatherfork/event.h"

/// What a trace shows of requests, answers and engine memory.
namespace heatherfork::detail::trace {

/// A caller of one life of one node.
using CallerOfNode = std::pair<NodeId, CallerId>;

/// Gathers the facts that the stated outcomes speak of.
class Observer
{
public:
  /// Takes in one event of a node and what followed from it.
  void On(const NodeId& aNode, const EventBody& aBody, const Effects& aEffects);

  /// Calls of plain services that may have arrived for a key: sent, and not
  /// reported as not sent or not started.
  int ArrivalsOf(const WorkspaceKey& aKey) const;

  /// All answers that a caller got.
  std::vector<Answer> AnswersOf(const CallerOfNode& aCaller) const;

  /// Every breach of the rules that hold at any time: answered twice, "not
  /// run" although it may have run, run twice, an answer of another request.
  std::vector<std::string> Breaches() const;

  /// Attempts that may hold memory at a backend server.
  std::vector<std::string> HeldAttempts() const;

private:
  using CallBody = std::pair<std::string, std::string>;
  using HeldAt = std::pair<AttemptId, ServerName>;

  void OnBody(const NodeId& aNode, const CallerRequested& aEvent);
  void OnBody(const NodeId& aNode, const ServerReplied& aEvent);
  void OnEffect(const NodeId& aNode, const AnswerCaller& aEffect);
  void OnEffect(const NodeId& aNode, const CallServer& aEffect);
  void Release(const ServerReplied& aReplied);
  void ReleaseRange(const ServerName& aServer, const CancelRangeCall& aRange);
  bool MayHaveArrived(const Request& aRequest) const;

  std::map<CallerOfNode, Request> mRequests;
  std::map<CallerOfNode, std::vector<Answer>> mAnswers;
  std::map<CallBody, int> mArrivals;
  std::set<HeldAt> mHeld;
};

} // namespace heatherfork::detail::trace
