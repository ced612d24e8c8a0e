#pragma once

#include <map>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include "heatherfork/time.h"

/// Polls sockets and calls their handlers.
namespace heatherfork::detail {

/// Called when a polled socket is ready.
class PollHandler
{
public:
  virtual ~PollHandler() = default;
  /// aMode is a bit set of Poco::Net::PollSet::Mode.
  virtual void OnReady(int aMode) = 0;
  /// An exception ended a call of this handler. Must not throw.
  virtual void OnFault(const std::string& aReason) = 0;
};

/// A set of polled sockets with their handlers. Only Wake is thread-safe.
class Poller
{
public:
  Poller();

  void Add(const Poco::Net::Socket& aSocket, PollHandler& aHandler, int aMode);
  void Update(const Poco::Net::Socket& aSocket, int aMode);
  void Remove(const Poco::Net::Socket& aSocket);

  /// Waits until a socket is ready, for at most aTimeout.
  void Wait(Duration aTimeout);

  /// Calls the handlers of the sockets that Wait found ready. One that throws
  /// gets OnFault.
  void Dispatch();

  /// Ends the current Wait, or the next one if none is running.
  void Wake();

private:
  void ReadWake();

  Poco::Net::PollSet mPollSet;
  Poco::Net::DatagramSocket mWakeReceiver;
  Poco::Net::DatagramSocket mWakeSender;
  std::map<Poco::Net::Socket, PollHandler*> mHandlers;
  Poco::Net::PollSet::SocketModeMap mReadySockets;
};

} // namespace heatherfork::detail
