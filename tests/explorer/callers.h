#pragma once

#include <map>
#include <string>
#include <vector>

#include "heatherfork/effect.h"
#include "heatherfork/event.h"
#include "schedule.h"

/// Simulated callers with their requests and the answers that they received.
namespace heatherfork::explorer {

inline constexpr int kCompletionTokens = 4;

/// A request sent on one connection, and what the caller received on it.
struct Exchange
{
  int mRequestIndex = 0;
  int mNode = 0;  ///< Index of the node.
  NodeId mNodeId; ///< Includes the incarnation at the time of sending.
  CallerId mCaller = 0;
  bool mIsOpen = true;
  std::string mStreamed;
  int mTokensStreamed = 0;
  std::vector<Answer> mAnswers;
};

class Callers
{
public:
  explicit Callers(std::vector<PlannedRequest> aRequests);

  const std::vector<PlannedRequest>& PlannedRequests() const
  {
    return mPlannedRequests;
  }
  const std::vector<Exchange>& Exchanges() const { return mExchanges; }

  /// Returns the request to send. Repeated transmissions carry the home of the
  /// first one and a new deadline.
  Request RequestOf(int aRequestIndex, const NodeId& aNode, Instant aNow);

  /// Returns the body, which identifies a request at backend servers.
  static std::string BodyOf(int aRequestIndex);

  /// Opens an exchange.
  const Exchange& Open(int aRequestIndex, int aNode, const NodeId& aNodeId);

  /// Closes the open exchanges of a request; returns copies made before that.
  std::vector<Exchange> CloseAllOf(int aRequestIndex);

  /// Closes the exchanges with a node that has died.
  void OnNodeDown(const NodeId& aNode);

  /// Checks what a node sent to a caller. Returns the violation, or an empty
  /// text.
  std::string Receive(const NodeId& aNode, const AnswerCaller& aAnswer);
  std::string Receive(const NodeId& aNode, const SendTokens& aTokens);

private:
  Exchange* Find(const NodeId& aNode, CallerId aCaller);

  std::vector<PlannedRequest> mPlannedRequests;
  std::vector<Exchange> mExchanges;
  std::map<int, Request> mFirstSent; ///< As sent the first time, by index.
};

} // namespace heatherfork::explorer
