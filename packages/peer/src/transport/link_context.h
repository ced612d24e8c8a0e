#pragma once

#include <atomic>
#include <memory>
#include <random>

#include "heatherfork/detail/peer/greeting.h"
#include "heatherfork/detail/peer/key_ring.h"
#include "heatherfork/peer_transport.h"
#include "poller.h"

/// State shared by all links of a transport.
namespace heatherfork::detail {

struct Counters
{
  std::atomic<std::uint64_t> mMessagesSent{ 0 };
  std::atomic<std::uint64_t> mMessagesReceived{ 0 };
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<std::uint64_t> mBytesReceived{ 0 };
  std::atomic<std::uint64_t> mConnectionsLost{ 0 };
  std::atomic<std::uint64_t> mFramesRejected{ 0 };
  std::atomic<std::uint64_t> mMessagesDropped{ 0 };
};

/// What the links share. None of its functions throws.
struct LinkContext
{
  /// Reports a loss, also when the listener throws.
  void ReportLost(const NodeId& aPeer);
  void ReportFault(const std::string& aReason);

  const PeerTransportSettings& mSettings;
  PeerListener& mListener;
  Poller mPoller;
  Counters mCounters;
  Greeting mSelf;
  std::shared_ptr<const KeyRing> mKeys;
  std::mt19937_64 mRandom;
  Instant mNow{}; ///< Monotonic; updated once per poll round.
};

} // namespace heatherfork::detail
