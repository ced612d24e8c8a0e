#pragma once

#include <functional>

#include "heatherfork/configuration.h"
#include "heatherfork/effect.h"

#include "event_queue.h"

/// A simulated backend server.
namespace heatherfork::bench {

/// Callbacks for the reply and the tokens of a call.
struct CallHandlers
{
  std::function<void(ServerReply)> mReply;
  std::function<void(int aOffset, int aCount)> mTokens;
};

/// Answers calls in virtual time.
class FakeServer
{
public:
  FakeServer(EventQueue& aQueue, BackendServer aServer)
    : mQueue(aQueue)
    , mServer(std::move(aServer))
  {
  }
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;
  virtual ~FakeServer() = default;

  const BackendServer& Server() const { return mServer; }
  double Slowness() const { return mSlowness; }
  bool IsDown() const { return mIsDown; }

  virtual void Call(const CallServer& aCall, CallHandlers aHandlers) = 0;
  virtual LoadReport Report() const = 0;
  virtual void SetSlowness(double aSlowness) { mSlowness = aSlowness; }

  /// A server that goes down loses its state.
  virtual void SetDown(bool aIsDown) { mIsDown = aIsDown; }

protected:
  EventQueue& mQueue;

private:
  BackendServer mServer;
  double mSlowness = 1;
  bool mIsDown = false;
};

} // namespace heatherfork::bench
