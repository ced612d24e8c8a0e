#include "callers.h"

namespace heatherfork::explorer {

namespace {

constexpr Duration kKeyValidity = Milliseconds(15000);
constexpr int kPromptTokens = 100;

bool
IsCompletion(WorkKind aKind)
{
  return aKind == WorkKind::kChat || aKind == WorkKind::kSummary;
}

// "PROMPT@ATTEMPT:0;PROMPT@ATTEMPT:1;..." of one attempt.
bool
IsOneGeneration(const std::string& aText,
                const std::string& aPrompt,
                int aTokens)
{
  const std::size_t end = aText.find(':');
  if (end == std::string::npos || aText.rfind(aPrompt + "@", 0) != 0) {
    return aTokens == 0 && aText.empty();
  }
  const std::string mark = aText.substr(0, end + 1);
  std::string whole;
  for (int n = 0; n < aTokens; ++n) {
    whole += mark + std::to_string(n) + ";";
  }
  return aText == whole;
}

} // namespace

Callers::Callers(std::vector<Work> aWorks)
  : mWorks(std::move(aWorks))
{
}

Request
Callers::RequestOf(int aWork, const NodeId& aNode, Instant aNow)
{
  const auto it = mSent.find(aWork);
  if (it != mSent.end()) {
    Request again = it->second;
    again.mDeadline = aNow + mWorks[aWork].mDeadline;
    return again;
  }
  const WorkKind kind = mWorks[aWork].mKind;
  Request request;
  request.mWorkspace = { "tenant" };
  request.mBody = BodyOf(aWork);
  request.mFingerprint = static_cast<std::uint64_t>(aWork) + 1;
  request.mDeadline = aNow + mWorks[aWork].mDeadline;
  if (IsCompletion(kind)) {
    request.mModel = { "model" };
    request.mPromptTokens = kPromptTokens;
    request.mMaxTokens = kTokensOfCompletion;
    request.mClass = { kind == WorkKind::kChat ? "chat" : "summary" };
    request.mStream = kind == WorkKind::kChat;
  } else {
    request.mKind = RequestKind::kPlainCall;
    request.mService = { "desk" };
    request.mCall = kind == WorkKind::kReserve ? "reserve" : "lookup";
    request.mClass = { request.mCall };
  }
  if (kind == WorkKind::kReserve || kind == WorkKind::kSummary) {
    request.mKey = { "key-" + BodyOf(aWork) };
  }
  if (kind == WorkKind::kReserve) {
    request.mHome = aNode;
    request.mKeyExpires = aNow + kKeyValidity;
  }
  mSent.emplace(aWork, request);
  return request;
}

std::string
Callers::BodyOf(int aWork)
{
  return "work-" + std::to_string(aWork);
}

const Exchange&
Callers::Open(int aWork, int aNode, const NodeId& aNodeId)
{
  Exchange exchange;
  exchange.mWork = aWork;
  exchange.mNode = aNode;
  exchange.mNodeId = aNodeId;
  exchange.mCaller = mExchanges.size() + 1;
  mExchanges.push_back(exchange);
  return mExchanges.back();
}

std::vector<Exchange>
Callers::CloseAllOf(int aWork)
{
  std::vector<Exchange> closed;
  for (Exchange& exchange : mExchanges) {
    if (exchange.mWork == aWork && exchange.mIsOpen) {
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
Callers::Take(const NodeId& aNode, const AnswerCaller& aAnswer)
{
  Exchange* exchange = Find(aNode, aAnswer.mCaller);
  if (exchange == nullptr) {
    return "an answer to a caller that had not asked";
  }
  exchange->mAnswers.push_back(aAnswer.mAnswer);
  const std::string body = BodyOf(exchange->mWork);
  if (exchange->mAnswers.size() > 1) {
    return body + " was answered twice on one exchange";
  }
  if (!aAnswer.mAnswer.mOk) {
    return "";
  }
  const std::string& text = aAnswer.mAnswer.mBody;
  const bool own = IsCompletion(mWorks[exchange->mWork].mKind)
                     ? IsOneGeneration(text, body, kTokensOfCompletion) &&
                         text.rfind(exchange->mStreamed, 0) == 0
                     : text == "done " + body;
  return own ? "" : body + " got an answer that is not its own: " + text;
}

std::string
Callers::Take(const NodeId& aNode, const SendTokens& aTokens)
{
  Exchange* exchange = Find(aNode, aTokens.mCaller);
  if (exchange == nullptr || !exchange->mAnswers.empty()) {
    return "tokens to a caller that waits for none";
  }
  const std::string body = BodyOf(exchange->mWork);
  if (aTokens.mOffset != exchange->mTokensStreamed) {
    return body + " got tokens with a gap";
  }
  exchange->mStreamed += aTokens.mText;
  for (const char it : aTokens.mText) {
    exchange->mTokensStreamed += it == ';' ? 1 : 0;
  }
  return IsOneGeneration(exchange->mStreamed, body, exchange->mTokensStreamed)
           ? ""
           : body + " got a splice: " + exchange->mStreamed;
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
