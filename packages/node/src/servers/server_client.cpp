#include "heatherfork/detail/servers/server_client.h"

#include <algorithm>
#include <array>
#include <istream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include "heatherfork/detail/http/strict_session.h"
#include "heatherfork/detail/runtime/event_loop.h"
#include "heatherfork/detail/servers/engine_protocol.h"

namespace heatherfork::detail {

namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::StreamSocket;

constexpr Duration kMinTimeout = Milliseconds(10);
constexpr Duration kConnectTimeout = Milliseconds(1000);
constexpr std::size_t kMaxReplyBytes = 8UL << 20;

// Cancels, reports and orders run concurrently with an attempt's step and are
// not aborted with it.
bool
IsAttemptStep(const ServerCall& aCall)
{
  return !std::holds_alternative<CancelCall>(aCall) &&
         !std::holds_alternative<CancelRangeCall>(aCall) &&
         !std::holds_alternative<ReportCall>(aCall) &&
         !std::holds_alternative<OrderCall>(aCall);
}

Duration
RemainingTime(const CallServer& aCall)
{
  return std::max(kMinTimeout, aCall.mDeadline - EventLoop::Now());
}

// Returns false when the body exceeds kMaxReplyBytes.
bool
ReadBody(std::istream& aInput, std::string& aBody)
{
  constexpr std::size_t kReadBufferBytes = 16UL << 10;
  std::array<char, kReadBufferBytes> buf;
  while (aInput.read(buf.data(), kReadBufferBytes) || aInput.gcount() > 0) {
    aBody.append(buf.data(), static_cast<std::size_t>(aInput.gcount()));
    if (aBody.size() > kMaxReplyBytes) {
      return false;
    }
  }
  return true;
}

// Without Content-Length or chunked encoding the end of a body cannot be told
// from a broken connection.
bool
HasDelimitedBody(const HTTPResponse& aResponse)
{
  return aResponse.getChunkedTransferEncoding() ||
         aResponse.getContentLength64() != HTTPResponse::UNKNOWN_CONTENT_LENGTH;
}

} // namespace

ServerClient::ServerClient(std::size_t aMaxThreads, Sink aSink)
  : mSink(std::move(aSink))
  , mPool(aMaxThreads)
{
}

void
ServerClient::Begin(const CallServer& aCall)
{
  auto open = std::make_shared<OpenCall>();
  if (IsAttemptStep(aCall.mCall)) {
    const std::lock_guard lock(mMutex);
    mOpenCalls[aCall.mAttempt] = open;
  }
  mPool.Post([this, aCall, open] { Execute(aCall, open); });
}

void
ServerClient::Abort(const AttemptId& aAttempt)
{
  OpenCallPtr open;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mOpenCalls.find(aAttempt);
    if (it == mOpenCalls.end()) {
      return;
    }
    open = it->second;
    mOpenCalls.erase(it);
  }
  Shutdown(*open);
}

void
ServerClient::AbortAll()
{
  std::map<AttemptId, OpenCallPtr> all;
  {
    const std::lock_guard lock(mMutex);
    all.swap(mOpenCalls);
  }
  for (const auto& [attempt, open] : all) {
    Shutdown(*open);
  }
}

void
ServerClient::Shutdown(OpenCall& aOpen)
{
  const std::lock_guard lock(aOpen.mMutex);
  aOpen.mIsAborted = true;
  if (aOpen.mSession == nullptr) {
    return;
  }
  try {
    aOpen.mSession->socket().shutdown();
  } catch (const Poco::Exception&) {
    // Not connected yet or already closed.
  }
}

void
ServerClient::Execute(const CallServer& aCall, const OpenCallPtr& aOpen)
{
  const ServerReply reply = Exchange(aCall, *aOpen);
  RemoveOpenCall(aCall, aOpen);
  const std::lock_guard lock(aOpen->mMutex);
  if (!aOpen->mIsAborted) {
    mSink(ServerReplied{ aCall.mAttempt, aCall.mServer, aCall.mCall, reply });
  }
}

void
ServerClient::RemoveOpenCall(const CallServer& aCall, const OpenCallPtr& aOpen)
{
  const std::lock_guard lock(mMutex);
  const auto it = mOpenCalls.find(aCall.mAttempt);
  if (it != mOpenCalls.end() && it->second == aOpen) {
    mOpenCalls.erase(it);
  }
}

ServerReply
ServerClient::Exchange(const CallServer& aCall, OpenCall& aOpen)
{
  StreamSocket socket;
  try {
    // Throws before any byte is sent.
    socket = ConnectTo(aCall.mAddress,
                       std::min(RemainingTime(aCall), kConnectTimeout));
  } catch (const std::exception&) {
    return ServerReply{ CallStatus::kNotSent };
  }
  HTTPClientSession* session = nullptr;
  {
    const std::lock_guard lock(aOpen.mMutex);
    if (aOpen.mIsAborted) {
      return ServerReply{ CallStatus::kNotSent };
    }
    aOpen.mSession = MakeStrictSession(socket, RemainingTime(aCall));
    session = aOpen.mSession.get();
  }
  try {
    return SendAndRead(aCall, *session, aOpen);
  } catch (const std::exception&) {
    return ServerReply{ CallStatus::kBroken };
  }
}

ServerReply
ServerClient::SendAndRead(const CallServer& aCall,
                          HTTPClientSession& aSession,
                          OpenCall& aOpen)
{
  const ServerHttpRequest http = ToHttpRequest(aCall.mAttempt, aCall.mCall);
  HTTPRequest request(http.mMethod, http.mPath, HTTPRequest::HTTP_1_1);
  request.setHost(aCall.mAddress.mValue);
  request.setContentType("application/json");
  request.setContentLength64(static_cast<Poco::Int64>(http.mBody.size()));
  aSession.sendRequest(request) << http.mBody << std::flush;
  HTTPResponse response;
  std::istream& input = aSession.receiveResponse(response);
  const CallStatus status =
    CallStatusFromHttp(response.getStatus(), aCall.mCall);
  const bool isStream = std::holds_alternative<DecodeCall>(aCall.mCall);
  if (status == CallStatus::kOk && isStream) {
    return ReadStream(aCall, input, aOpen);
  }
  std::string body;
  if (!HasDelimitedBody(response) || !ReadBody(input, body) ||
      !HasWholeResponse(aSession)) {
    return ServerReply{ CallStatus::kBroken };
  }
  if (status == CallStatus::kOk) {
    return ReadReply(aCall.mCall, body);
  }
  const bool isCancelled =
    status == CallStatus::kRefused && IsCancelledReply(body);
  return ServerReply{ isCancelled ? CallStatus::kCancelled : status, body };
}

ServerReply
ServerClient::ReadStream(const CallServer& aCall,
                         std::istream& aInput,
                         OpenCall& aOpen)
{
  std::string line;
  bool isEnd = false;
  while (std::getline(aInput, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (line.starts_with("event: ")) {
      isEnd = line == "event: end";
      continue;
    }
    if (!line.starts_with("data: ")) {
      continue;
    }
    const auto item = ReadStreamItem(isEnd, line.substr(6));
    if (!item.ok()) {
      return ServerReply{ CallStatus::kBroken };
    }
    if (item->mIsEnd) {
      return ServerReply{ CallStatus::kOk, "", item->mTokens };
    }
    const std::lock_guard lock(aOpen.mMutex);
    if (aOpen.mIsAborted) {
      break;
    }
    mSink(TokensReceived{
      aCall.mAttempt, item->mOffset, item->mTokens, item->mText });
  }
  return ServerReply{ CallStatus::kBroken };
}

} // namespace heatherfork::detail
