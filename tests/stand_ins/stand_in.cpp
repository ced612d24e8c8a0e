#include "stand_in.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

namespace heatherfork::stand_in {

namespace {

constexpr int kMaxThreads = 1024;
constexpr int kBacklog = 256;
constexpr std::string_view kControlPath = "/control";

Json::Ptr
ParseObject(const std::string& aText)
{
  try {
    Poco::JSON::Parser parser;
    return parser.parse(aText).extract<Json::Ptr>();
  } catch (const Poco::Exception&) {
    return new Json;
  }
}

Call
ReadCall(Poco::Net::HTTPServerRequest& aRequest, StandIn& aStandIn)
{
  Call call;
  const Poco::URI uri(aRequest.getURI());
  call.mMethod = aRequest.getMethod();
  call.mPath = uri.getPath();
  for (const auto& [name, value] : uri.getQueryParameters()) {
    call.mQuery[name] = value;
  }
  Poco::StreamCopier::copyToString(aRequest.stream(), call.mBody);
  call.mJson = ParseObject(call.mBody);
  call.mPeer = aRequest.clientAddress().toString();
  call.mIsOnKeptAlive = aStandIn.RecordCall(call.mPeer);
  return call;
}

class Handler : public Poco::Net::HTTPRequestHandler
{
public:
  explicit Handler(StandIn& aStandIn)
    : mStandIn(aStandIn)
  {
  }

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    try {
      const auto call = ReadCall(aRequest, mStandIn);
      mStandIn.Dispatch(call, aRequest, aResponse);
    } catch (const std::exception&) {
      // The client has disconnected, so no answer is possible.
      aResponse.setKeepAlive(false);
    }
  }

private:
  StandIn& mStandIn;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit HandlerFactory(StandIn& aStandIn)
    : mStandIn(aStandIn)
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& /*aRequest*/) override
  {
    return new Handler(mStandIn);
  }

private:
  StandIn& mStandIn;
};

sigset_t
BlockTerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

} // namespace

std::uint64_t
Call::Parameter(const std::string& aName, std::uint64_t aFallback) const
{
  const auto it = mQuery.find(aName);
  if (it == mQuery.end()) {
    return aFallback;
  }
  return std::strtoull(it->second.c_str(), nullptr, 10);
}

std::string
ToText(const Json& aObject)
{
  std::ostringstream out;
  aObject.stringify(out);
  return out.str();
}

Responder::Responder(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse,
                     const FaultSwitch& aFaults)
  : mRequest(aRequest)
  , mResponse(aResponse)
  , mFaults(aFaults)
{
}

void
Responder::Send(int aStatus, const std::string& aBody)
{
  const auto delayMs = mFaults.Current().mAnswerDelayMs;
  std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
  mFaults.WaitWhileFrozen();
  const auto faults = mFaults.Current();
  const auto status = faults.mFailStatus != 0 ? faults.mFailStatus : aStatus;
  mResponse.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  mResponse.setReason(
    Poco::Net::HTTPResponse::getReasonForStatus(mResponse.getStatus()));
  mResponse.setContentType("application/json");
  mResponse.sendBuffer(aBody.data(), aBody.size());
}

std::ostream&
Responder::BeginStream()
{
  mFaults.WaitWhileFrozen();
  mResponse.setContentType("text/event-stream");
  mResponse.setChunkedTransferEncoding(true);
  return mResponse.send();
}

void
Responder::Close()
{
  mResponse.setKeepAlive(false);
  auto& request = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(mRequest);
  request.socket().shutdown();
}

void
StandIn::Control(const Json& /*aChanges*/)
{
}

void
StandIn::Dispatch(const Call& aCall,
                  Poco::Net::HTTPServerRequest& aRequest,
                  Poco::Net::HTTPServerResponse& aResponse)
{
  const FaultSwitch noFaults;
  if (aCall.mPath == kControlPath && aCall.mMethod == "POST") {
    mFaults.Apply(*aCall.mJson);
    Control(*aCall.mJson);
    Responder(aRequest, aResponse, noFaults).Send(200);
    return;
  }
  if (aCall.mPath == kControlPath) {
    Json counters;
    AddCounters(counters);
    Responder(aRequest, aResponse, noFaults).Send(200, ToText(counters));
    return;
  }
  Responder responder(aRequest, aResponse, mFaults);
  if (mFaults.Current().mIsDown) {
    responder.Close();
    return;
  }
  Handle(aCall, responder);
}

bool
StandIn::RecordCall(const std::string& aPeer)
{
  const std::lock_guard lock(mMutex);
  return ++mCallsOfPeer[aPeer] > 1;
}

int
Serve(StandIn& aStandIn, int aPort)
{
  const auto signals = BlockTerminationSignals();
  const Poco::Net::SocketAddress address("127.0.0.1",
                                         static_cast<Poco::UInt16>(aPort));
  Poco::Net::ServerSocket socket(address, kBacklog);
  Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
  parameters->setMaxThreads(kMaxThreads);
  parameters->setMaxQueued(kBacklog);
  Poco::ThreadPool threads(2, kMaxThreads);
  Poco::Net::HTTPServer server(
    new HandlerFactory(aStandIn), threads, socket, parameters);
  server.start();
  std::printf("%d\n", static_cast<int>(socket.address().port()));
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  // A regular shutdown would wait forever for handlers of frozen answers.
  std::_Exit(0);
}

} // namespace heatherfork::stand_in
