#include "heatherfork/detail/relay/relay_node_state.h"

namespace heatherfork {

using namespace relay;

namespace {

constexpr int kServiceUnavailable = 503;

// Room for bodies is granted anew within about this time.
constexpr Duration kFullRetryAfter = Milliseconds(1000);

// Events of successful requests are frequent. Failures are warnings, which are
// dropped last.
LogLevel
LevelOfEvent(const std::string& aEvent)
{
  const bool isFailure =
    aEvent == "refused" || aEvent == "broken" || aEvent == "scheduler-lost" ||
    aEvent == "scheduler-silent" || aEvent == "scheduler-unreachable" ||
    aEvent == "caller-slow" || aEvent == "caller-silent" ||
    aEvent == "call-silent" || aEvent == "keys-unconfirmed";
  return isFailure ? LogLevel::kWarning : LogLevel::kInfo;
}

const char*
EventOf(ReaderEvent aEvent)
{
  switch (aEvent) {
    case ReaderEvent::kPaused:
      return "caller-paused";
    case ReaderEvent::kSilent:
      return "caller-silent";
    case ReaderEvent::kTooLate:
    case ReaderEvent::kNoRoom:
      break;
  }
  return "caller-slow";
}

const char*
ReasonOf(ReaderEvent aEvent)
{
  switch (aEvent) {
    case ReaderEvent::kTooLate:
      return " reason=deadline";
    case ReaderEvent::kNoRoom:
      return " reason=room";
    case ReaderEvent::kPaused:
    case ReaderEvent::kSilent:
      break;
  }
  return "";
}

// A call whose response is ignored.
class BackgroundCall final : public ExchangeListener
{
public:
  BackgroundCall(ConnectionPool& aPool,
                 const Address& aAddress,
                 std::string aRequest)
    : mPool(aPool)
    , mConnection(aPool.Acquire(aAddress, false, ""))
  {
    mConnection->Begin(std::move(aRequest), false, *this);
  }
  ~BackgroundCall() override
  {
    if (mConnection != nullptr) {
      mConnection->Abandon();
    }
  }

  bool OnHead(const HttpHead&) override { return true; }
  void OnBody(std::string_view aBytes) override
  {
    mReceivedBytes += aBytes.size();
    if (mReceivedBytes > kMaxInternalAnswerBytes) {
      mConnection->Abandon();
    }
  }
  void OnDone() override { mPool.Release(std::move(mConnection)); }
  void OnFailed(const CallFailure&) override
  {
    mPool.Release(std::move(mConnection));
  }

private:
  ConnectionPool& mPool;
  ServerConnectionPtr mConnection;
  std::size_t mReceivedBytes = 0;
};

// The oldest call is cancelled when there are more.
constexpr std::size_t kMaxBackgroundCalls = 64;

} // namespace

Exchange*
RelayNode::State::Find(CallerId aCaller)
{
  const auto it = mExchanges.find(aCaller);
  return it == mExchanges.end() ? nullptr : it->second.get();
}

void
RelayNode::State::OnRequest(CallerResponse aResponse,
                            const HttpHead& aHead,
                            std::string aBody)
{
  if (TryAnswerInfo(aResponse, aHead)) {
    return;
  }
  const auto read = mWire.ReadRequest(aHead, aBody);
  if (const auto* error = std::get_if<Error>(&read)) {
    mLog.Add(LogLevel::kWarning, "bad-request", "", error->mMessage);
    const int status = InfoOf(error->mCode).mHttpStatus;
    aResponse.Send(mWire.WriteError("", *error, status, {}, true));
    aResponse.Finish(false);
    return;
  }
  const RelayRequest& request = std::get<RelayRequest>(read);
  aResponse.SetRequest(request.mId, request.mTimeLeft);
  const CallerId caller = ++mLastCallerId;
  mExchanges[caller] = std::make_unique<Exchange>(mExchangeContext,
                                                  std::move(aResponse),
                                                  aHead,
                                                  std::move(aBody),
                                                  request.mId);
  Post(RelayRequestArrived{ caller, request });
}

// Found by the head alone. Nothing while this node knows no routing: such a
// request is refused, or waits, as one without a body does.
std::optional<Error>
RelayNode::State::FindHeadError(const HttpHead& aHead)
{
  const auto read = mWire.ReadRequest(aHead, {});
  if (const auto* error = std::get_if<Error>(&read)) {
    return *error;
  }
  return mReducer.HeadError(std::get<RelayRequest>(read), SteadyNow());
}

bool
RelayNode::State::NeedsBody(const HttpHead& aHead)
{
  return !mWire.IsReadyCall(aHead) && !mWire.ReadEntriesCall(aHead) &&
         !FindHeadError(aHead);
}

void
RelayNode::State::OnUnreadRequest(CallerResponse aResponse,
                                  const HttpHead& aHead)
{
  if (TryAnswerInfo(aResponse, aHead)) {
    return;
  }
  const auto error = FindHeadError(aHead);
  const auto read = mWire.ReadRequest(aHead, {});
  const auto* request = std::get_if<RelayRequest>(&read);
  RefuseHead(std::move(aResponse),
             request != nullptr ? request->mId : "",
             error.value_or(Error{ ErrorCode::kBadHttp, "no body" }));
}

void
RelayNode::State::RefuseHead(CallerResponse aResponse,
                             const std::string& aRequestId,
                             const Error& aError)
{
  mRelayMetrics.On(RefuseCaller{ 0, aError, {} });
  mLog.Add(LogLevel::kWarning, "head-refused", aRequestId, aError.mMessage);
  const int status = InfoOf(aError.mCode).mHttpStatus;
  aResponse.Send(mWire.WriteError(aRequestId, aError, status, {}, true));
  aResponse.Finish(false);
}

void
RelayNode::State::OnBadRequest(CallerResponse aResponse, int aStatus)
{
  const bool isFull = aStatus == kServiceUnavailable;
  const Error error =
    isFull ? Error{ ErrorCode::kNodeFull,
                    "this node has no memory for the request's body now" }
           : Error{ ErrorCode::kBadHttp,
                    "what came is no request that this node takes" };
  mRelayMetrics.On(RefuseCaller{ 0, error, {} });
  mLog.Add(LogLevel::kWarning,
           isFull ? "node-full" : "bad-request",
           "",
           "status=" + std::to_string(aStatus));
  const Duration retryAfter = isFull ? kFullRetryAfter : Duration{};
  aResponse.Send(mWire.WriteError("", error, aStatus, retryAfter, true));
  aResponse.Finish(false);
}

void
RelayNode::State::OnDisconnect(const CallerConnection& aConnection)
{
  for (auto it = mExchanges.begin(); it != mExchanges.end(); ++it) {
    if (it->second->BelongsTo(aConnection)) {
      it->second->Drop();
      mFinishedExchanges.push_back(std::move(it->second));
      Post(RelayCallerDisconnected{ it->first });
      mExchanges.erase(it);
      return;
    }
  }
}

void
RelayNode::State::OnReader(const ReaderReport& aReport)
{
  const std::string address =
    aReport.mAddress.empty() ? "" : "address=" + aReport.mAddress + " ";
  On(RelayLogEntry{ EventOf(aReport.mEvent),
                    aReport.mRequest,
                    address +
                      "unread_bytes=" + std::to_string(aReport.mUnreadBytes) +
                      " without_progress_ms=" +
                      std::to_string(ToMilliseconds(aReport.mWithoutProgress)) +
                      ReasonOf(aReport.mEvent) });
}

bool
RelayNode::State::TryAnswerInfo(CallerResponse& aResponse,
                                const HttpHead& aHead)
{
  if (mWire.IsReadyCall(aHead)) {
    const bool isReady = mReducer.View().IsReady();
    aResponse.Send(isReady ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                           : "HTTP/1.1 503 Service Unavailable\r\n"
                             "Content-Length: 0\r\n\r\n");
    aResponse.Finish(true);
    return true;
  }
  if (!mWire.ReadEntriesCall(aHead)) {
    return false;
  }
  const auto addresses = mReducer.Entries();
  if (addresses.empty()) {
    aResponse.Send(
      mWire.WriteError("",
                       { ErrorCode::kNoBackendServer, "no node serves yet" },
                       kServiceUnavailable,
                       {},
                       false));
  } else {
    aResponse.Send(
      mWire.WriteEntries(addresses, mSettings.mRelay.mEntriesValidity));
  }
  aResponse.Finish(true);
  return true;
}

void
RelayNode::State::On(const StartCall& aEffect)
{
  if (Exchange* exchange = Find(aEffect.mCall.mCaller)) {
    exchange->Start(aEffect, SteadyNow());
  }
}

void
RelayNode::State::On(const StopCall& aEffect)
{
  if (Exchange* exchange = Find(aEffect.mCall.mCaller)) {
    exchange->Stop();
  }
}

void
RelayNode::State::On(const EndSilentCall& aEffect)
{
  if (Exchange* exchange = Find(aEffect.mCall.mCaller)) {
    exchange->EndIfSilent(aEffect.mCall);
  }
}

void
RelayNode::State::On(const RefuseCaller& aEffect)
{
  mRelayMetrics.On(aEffect);
  const auto it = mExchanges.find(aEffect.mCaller);
  if (it == mExchanges.end()) {
    return;
  }
  // Removed first: answering may deliver the connection's next request.
  const std::unique_ptr<Exchange> exchange = std::move(it->second);
  mExchanges.erase(it);
  exchange->Refuse(aEffect.mError,
                   InfoOf(aEffect.mError.mCode).mHttpStatus,
                   aEffect.mRetryAfter);
}

void
RelayNode::State::On(const PassAnswer& aEffect)
{
  const auto it = mExchanges.find(aEffect.mCall.mCaller);
  if (it == mExchanges.end()) {
    return;
  }
  const std::unique_ptr<Exchange> exchange = std::move(it->second);
  mExchanges.erase(it);
  exchange->ForwardResponse();
}

void
RelayNode::State::On(const BreakStream& aEffect)
{
  const auto it = mExchanges.find(aEffect.mCaller);
  if (it == mExchanges.end()) {
    return;
  }
  const std::unique_ptr<Exchange> exchange = std::move(it->second);
  mExchanges.erase(it);
  exchange->Abort();
}

void
RelayNode::State::On(const FreeKv& aEffect)
{
  if (mKvFreeCalls.size() >= kMaxBackgroundCalls) {
    mKvFreeCalls.erase(mKvFreeCalls.begin());
  }
  mKvFreeCalls.push_back(std::make_unique<BackgroundCall>(
    mPool, aEffect.mHolder, mWire.WriteFreeKv(aEffect)));
}

void
RelayNode::State::On(const CheckServer& aEffect)
{
  mServerChecks.Start(aEffect, SteadyNow());
}

void
RelayNode::State::On(const RelayLogEntry& aEffect)
{
  mRelayMetrics.On(aEffect);
  mLog.Add(LevelOfEvent(aEffect.mEvent),
           aEffect.mEvent,
           aEffect.mRequest,
           aEffect.mText);
}

} // namespace heatherfork
