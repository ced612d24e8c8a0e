#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "faults.h"

/// HTTP server framework for test doubles of external systems.
namespace heatherfork::stand_in {

using Json = Poco::JSON::Object;

/// A parsed HTTP request.
struct Call
{
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  Json::Ptr mJson;   ///< Never null; empty if the body is no JSON object.
  std::string mPeer; ///< Address and port of the client.
  bool mIsOnKeptAlive = false; ///< Not the first call of its connection.

  /// Returns a query parameter, or the fallback if it is absent.
  std::uint64_t Parameter(const std::string& aName,
                          std::uint64_t aFallback) const;

  std::map<std::string, std::string> mQuery;
};

/// Serializes an object.
std::string
ToText(const Json& aObject);

/// Writes the answer to one call.
class Responder
{
public:
  Responder(Poco::Net::HTTPServerRequest& aRequest,
            Poco::Net::HTTPServerResponse& aResponse,
            const FaultSwitch& aFaults);

  /// Answers with JSON, subject to the active faults.
  void Send(int aStatus, const std::string& aBody = "{}");

  /// Starts an event stream. The reference is valid until the call ends.
  std::ostream& BeginStream();

  /// Closes the connection without sending anything more.
  void Close();

private:
  Poco::Net::HTTPServerRequest& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
  const FaultSwitch& mFaults;
};

/// Base class of the stand-ins. Its functions are called by several threads.
class StandIn
{
public:
  StandIn() = default;
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;
  virtual ~StandIn() = default;

  /// Answers one call of the simulated interface.
  virtual void Handle(const Call& aCall, Responder& aResponder) = 0;

  /// Adds this stand-in's counters to the answer of `GET /control`.
  virtual void AddCounters(Json& aCounters) = 0;

  /// Applies the fields of `POST /control` other than faults, after the faults.
  virtual void Control(const Json& aChanges);

  /// Passes a call to Handle, or answers it if its path is `/control`.
  void Dispatch(const Call& aCall,
                Poco::Net::HTTPServerRequest& aRequest,
                Poco::Net::HTTPServerResponse& aResponse);

  /// Counts a call of a connection. Returns true from the second call on.
  bool RecordCall(const std::string& aPeer);

protected:
  FaultSwitch mFaults;

private:
  std::mutex mMutex;
  std::map<std::string, int> mCallsOfPeer;
};

/// Serves on 127.0.0.1 until SIGTERM or SIGINT; prints the port on stdout.
int
Serve(StandIn& aStandIn, int aPort);

} // namespace heatherfork::stand_in
