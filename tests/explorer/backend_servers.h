#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "attempt_table.h"
#include "heatherfork/effect.h"
#include "heatherfork/event.h"
#include "virtual_clock.h"

/// Simulated backend servers in virtual time; they count the runs of calls.
namespace heatherfork::explorer {

/// Receives the tokens of a call and its result.
using EventSink = std::function<void(EventBody)>;

/// Active faults, common to all backend servers.
struct ServerFaults
{
  bool mBreaksCalls = false;
  Duration mReplyDelay{};
  bool mRepeatsReplies = false;
};

class BackendServers
{
public:
  explicit BackendServers(VirtualClock& aClock);

  /// Runs a call; its tokens and result go to the sink.
  void Receive(const CallServer& aCall, const EventSink& aSink);

  /// Restarts an engine: it loses all its attempts.
  void RestartEngine(int aNumber);

  ServerFaults& Faults() { return mFaults; }

  /// Returns how many times plain services ran the call with this body.
  int RunsOf(const std::string& aBody) const;

  /// Lists the engines that hold memory, one text per engine.
  std::vector<std::string> HeldMemory();

private:
  void Receive(const CallServer& aCall,
               const PlainCall& aBody,
               const EventSink&);
  void Receive(const CallServer& aCall,
               const ReserveCall& aBody,
               const EventSink&);
  void Receive(const CallServer& aCall,
               const PrefillCall& aBody,
               const EventSink&);
  void Receive(const CallServer& aCall,
               const TransferCall& aBody,
               const EventSink&);
  void Receive(const CallServer& aCall,
               const DecodeCall& aBody,
               const EventSink&);
  void Receive(const CallServer& aCall,
               const CancelCall& aBody,
               const EventSink&);
  void Receive(const CallServer& aCall,
               const CancelRangeCall& aBody,
               const EventSink&);
  template<class Other>
  void Receive(const CallServer& aCall, const Other&, const EventSink& aSink)
  {
    Reply(aCall, aSink, ServerReply{ CallStatus::kOk });
  }

  void StreamToken(const CallServer& aCall,
                   int aStream,
                   int aOffset,
                   const EventSink& aSink);
  void Reply(const CallServer& aCall,
             const EventSink& aSink,
             ServerReply aReply);
  stand_in::AttemptTable& TableOf(const ServerName& aServer);
  stand_in::Instant EngineNow() const;

  VirtualClock& mClock;
  std::map<ServerName, stand_in::AttemptTable> mEngines;
  std::map<std::string, int> mRuns;
  ServerFaults mFaults;
};

} // namespace heatherfork::explorer
