#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>

#include "heatherfork/peer_transport.h"
#include "incoming_link.h"
#include "link_context.h"
#include "outgoing_link.h"

namespace heatherfork {

/// The transport's event loop, with its thread, links and listening socket.
class PeerTransport::Loop
  : public detail::PollHandler
  , public detail::GreetingListener
{
public:
  Loop(PeerTransportSettings aSettings, PeerListener& aListener);
  ~Loop() override;

  absl::Status Start();
  void Stop();
  void Send(const NodeId& aPeer,
            const Address& aAddress,
            const PeerMessage& aMessage);
  void SetKeys(std::vector<std::string> aKeys);
  Address ListenAddress() const { return mContext.mSelf.mAddress; }
  PeerTransportCounts Counts() const;

private:
  struct SendRequest
  {
    Address mAddress;
    detail::QueuedMessage mMessage;
  };

  void Run();
  /// Calls aFunction; an exception ends aHandler's connection alone.
  template<class Function>
  static void Guard(detail::PollHandler& aHandler, const Function& aFunction);
  void Wait();
  void ProcessSendRequests();
  void Dispatch(SendRequest aRequest);
  Address AddressOf(const NodeId& aPeer) const;
  void OnTimer();
  void RemoveClosedLinks();
  void FlushAndClose();
  void OnReady(int aMode) override;
  void OnFault(const std::string& aReason) override;
  void OnGreeting(detail::IncomingLink& aLink) override;
  std::size_t UnauthenticatedCount() const;

  PeerTransportSettings mSettings;
  detail::LinkContext mContext;
  Poco::Net::ServerSocket mServer;
  std::map<Address, std::unique_ptr<detail::OutgoingLink>> mOutgoing;
  std::vector<std::unique_ptr<detail::IncomingLink>> mIncoming;

  std::mutex mMutex; ///< Guards mSendRequests and mPendingKeys.
  std::vector<SendRequest> mSendRequests;
  std::shared_ptr<const detail::KeyRing> mPendingKeys;

  std::atomic<bool> mIsWakePending{ false };
  Instant mNextTimerAt{};
  std::atomic<bool> mIsStopping{ false };
  std::thread mThread;
};

} // namespace heatherfork
