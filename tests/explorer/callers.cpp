#include "callers.h"

namespace heatherfork::explorer {

namespace {

constexpr Duration kKeyValidity = Milliseconds(15000);
constexpr int kPromptTokens = 100;

bool
IsCompletion(PlannedRequestKind aKind)
{
  return aKind == PlannedRequestKind::kChat ||
         aKind == PlannedRequestKind::kSummary;
}

// Whether the text is "PROMPT@ATTEMPT:0;PROMPT@ATTEMPT:1;..." with the given
// number of tokens, all of one attempt.
bool
IsOneGeneration(const std::string& aText,
                const std::string& aPrompt,
                int aTokens)
{
  const std::size_t end = aText.find(':');
  if (end == std::string::npos || aText.rfind(aPrompt + "@", 0) != 0) {
    return aTokens == 0 && aText.empty();
  }
  const std::string prefix = aText.substr(0, end + 1);
  std::string expected;
  for (int n = 0; n < aTokens; ++n) {
    expected += prefix + std::to_string(n) + ";";
  }
  return aText == expected;
}

} // namespace

Callers::Callers(std::vector<PlannedRequest> aRequests)
  : mPlannedRequests(std::move(aRequests))
{
}

Request
Callers::RequestOf(int aRequestIndex, const NodeId& aNode, Instant aNow)
{
  const auto it = mFirstSent.find(aRequestIndex);
  if (it != mFirstSent.end()) {
    Request repeated = it->second;
    repeated.mDeadline = aNow + mPlannedRequests[aRequestIndex].mDeadline;
    return repeated;
  }
  const PlannedRequestKind kind = mPlannedRequests[aRequestIndex].mKind;
  Request request;
  request.mWorkspace = { "tenant" };
  request.mBody = BodyOf(aRequestIndex);
  request.mFingerprint = static_cast<std::uint64_t>(aRequestIndex) + 1;
  request.mDeadline = aNow + mPlannedRequests[aRequestIndex].mDeadline;
  if (IsCompletion(kind)) {
    request.mModel = { "model" };
    request.mPromptTokens = kPromptTokens;
    request.mMaxTokens = kCompletionTokens;
    request.mClass = { kind == PlannedRequestKind::kChat ? "chat" : "summary" };
    request.mStream = kind == PlannedRequestKind::kChat;
  } else {
    request.mKind = RequestKind::kPlainCall;
    request.mService = { "desk" };
    request.mCall = kind == PlannedRequestKind::kReserve ? "reserve" : "lookup";
    request.mClass = { request.mCall };
  }
  if (kind == PlannedRequestKind::kReserve ||
      kind == PlannedRequestKind::kSummary) {
    request.mKey = { "key-" + BodyOf(aRequestIndex) };
  }
  if (kind == PlannedRequestKind::kReserve) {
    request.mHome = aNode;
    request.mKeyExpires = aNow + kKeyValidity;
  }
  mFirstSent.emplace(aRequestIndex, request);
  return request;
}

std::string
Callers::BodyOf(int aRequestIndex)
{
  return "work-" + std::to_string(aRequestIndex);
}

const Exchange&
Callers::Open(int aRequestIndex, int aNode, const NodeId& aNodeId)
{
  Exchange exchange;
  exchange.mRequestIndex = aRequestIndex;
  exchange.mNode = aNode;
  exchange.mNodeId = aNodeId;
  exchange.mCaller = mExchanges.size() + 1;
  mExchanges.push_back(exchange);
  return mExchanges.back();
}

std::vector<Exchange>
Callers::CloseAllOf(int aRequestIndex)
{
  std::vector<Exchange> closed;
  for (Exchange& exchange : mExchanges) {
    if (exchange.mRequestIndex == aRequestIndex && exchange.mIsOpen) {
      closed.push_back(exchange);
      exchange.mIsOpen = false;
    }
  }
  return closed;
}

void
Callers::OnNodeDown(const NodeId& aNode)
{
  for (Exchange& exchange : mExchanges) {
    if (exchange.mNodeId == aNode) {
      exchange.mIsOpen = false;
    }
  }
}

std::string
Callers::Receive(const NodeId& aNode, const AnswerCaller& aAnswer)
{
  Exchange* exchange = Find(aNode, aAnswer.mCaller);
  if (exchange == nullptr) {
    return "an answer to a caller that had not asked";
  }
  exchange->mAnswers.push_back(aAnswer.mAnswer);
  const std::string body = BodyOf(exchange->mRequestIndex);
  if (exchange->mAnswers.size() > 1) {
    return body + " was answered twice on one exchange";
  }
  if (!aAnswer.mAnswer.mOk) {
    return "";
  }
  const std::string& text = aAnswer.mAnswer.mBody;
  const bool isOwn =
    IsCompletion(mPlannedRequests[exchange->mRequestIndex].mKind)
      ? IsOneGeneration(text, body, kCompletionTokens) &&
          text.rfind(exchange->mStreamed, 0) == 0
      : text == "done " + body;
  return isOwn ? "" : body + " got an answer that is not its own: " + text;
}

std::string
Callers::Receive(const NodeId& aNode, const SendTokens& aTokens)
{
  Exchange* exchange = Find(aNode, aTokens.mCaller);
  if (exchange == nullptr || !exchange->mAnswers.empty()) {
    return "tokens to a caller that waits for none";
  }
  const std::string body = BodyOf(exchange->mRequestIndex);
  if (aTokens.mOffset != exchange->mTokensStreamed) {
    return body + " got tokens with a gap";
  }
  exchange->mStreamed += aTokens.mText;
  for (const char it : aTokens.mText) {
    exchange->mTokensStreamed += it == ';' ? 1 : 0;
  }
  return IsOneGeneration(exchange->mStreamed, body, exchange->mTokensStreamed)
           ? ""
           : body + " got tokens of different attempts: " + exchange->mStreamed;
}

Exchange*
Callers::Find(const NodeId& aNode, CallerId aCaller)
{
  if (aCaller == 0 || aCaller > mExchanges.size()) {
    return nullptr;
  }
  Exchange& exchange = mExchanges[aCaller - 1];
  return exchange.mNodeId == aNode ? &exchange : nullptr;
}

} // namespace heatherfork::explorer
