#include "loop.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <Poco/Exception.h>
#include <absl/status/status.h>

#include "heatherfork/peer_frame.h"
#include "socket_address.h"

namespace heatherfork {

namespace {

using detail::IncomingLink;
using detail::KeyRing;
using detail::OutgoingLink;

// Longest wait between two checks of the links' timeouts.
constexpr Duration kMaxPollWait = Milliseconds(20);
constexpr int kListenBacklog = 512;
// Upper bound of the length, kind and tag that a session adds to a message.
constexpr std::size_t kMaxFrameOverheadBytes = 32;

Instant
SteadyNow()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(now));
}

bool
AreValidKeys(const std::vector<std::string>& aKeys)
{
  constexpr std::size_t kMinKeyBytes = 16;
  return !aKeys.empty() &&
         std::all_of(aKeys.begin(), aKeys.end(), [](const std::string& aKey) {
           return aKey.size() >= kMinKeyBytes;
         });
}

} // namespace

PeerTransport::Loop::Loop(PeerTransportSettings aSettings,
                          PeerListener& aListener)
  : mSettings(std::move(aSettings))
  , mContext{ mSettings, aListener }
{
  mContext.mSelf.mNode = mSettings.mSelf;
  mContext.mRandom.seed(mSettings.mSelf.mIncarnation);
  mContext.mNow = SteadyNow();
}

PeerTransport::Loop::~Loop()
{
  Stop();
}

absl::Status
PeerTransport::Loop::Start()
{
  if (!AreValidKeys(mSettings.mKeys)) {
    return absl::InvalidArgumentError("a peer key needs 16 bytes or more");
  }
  mContext.mKeys = std::make_shared<const KeyRing>(mSettings.mKeys);
  const auto address = detail::ParseAddress(mSettings.mListenAddress);
  if (!address.ok()) {
    return address.status();
  }
  try {
    mServer.bind(*address, true, false);
    mServer.listen(kListenBacklog);
    mServer.setBlocking(false);
    mContext.mSelf.mAddress = mSettings.mAdvertisedAddress.Empty()
                                ? Address{ mServer.address().toString() }
                                : mSettings.mAdvertisedAddress;
  } catch (const Poco::Exception& e) {
    return absl::UnavailableError(e.displayText());
  }
  mContext.mPoller.Add(mServer, *this, Poco::Net::PollSet::POLL_READ);
  mThread = std::thread([this] { Run(); });
  return absl::OkStatus();
}

void
PeerTransport::Loop::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  mIsStopping = true;
  mContext.mPoller.Wake();
  mThread.join();
}

void
PeerTransport::Loop::Send(const NodeId& aPeer,
                          const Address& aAddress,
                          const PeerMessage& aMessage)
{
  SendRequest request{ aAddress,
                       { aPeer, EncodeFrame(mSettings.mSelf, aMessage) } };
  {
    const std::lock_guard lock(mMutex);
    mSendRequests.push_back(std::move(request));
  }
  if (!mIsWakePending.exchange(true)) {
    mContext.mPoller.Wake();
  }
}

void
PeerTransport::Loop::SetKeys(std::vector<std::string> aKeys)
{
  if (!AreValidKeys(aKeys)) {
    return;
  }
  const std::lock_guard lock(mMutex);
  mPendingKeys = std::make_shared<const KeyRing>(std::move(aKeys));
}

void
PeerTransport::Loop::Run()
{
  while (!mIsStopping) {
    Guard(*this, [this] { Wait(); });
    Guard(*this, [this] { ProcessSendRequests(); });
    Guard(*this, [this] { OnTimer(); });
  }
  Guard(*this, [this] { FlushAndClose(); });
}

template<class Function>
void
PeerTransport::Loop::Guard(detail::PollHandler& aHandler,
                           const Function& aFunction)
{
  try {
    aFunction();
  } catch (const std::exception& e) {
    aHandler.OnFault(e.what());
  }
}

void
PeerTransport::Loop::OnFault(const std::string& aReason)
{
  mContext.ReportFault(aReason);
}

void
PeerTransport::Loop::Wait()
{
  mContext.mPoller.Wait(kMaxPollWait);
  // Take the time and handle input before OnTimer: after a pause of the
  // process, data that arrived during the pause must count as received now.
  // Otherwise a live link would time out.
  mContext.mNow = SteadyNow();
  mContext.mPoller.Dispatch();
}

void
PeerTransport::Loop::ProcessSendRequests()
{
  mIsWakePending = false;
  std::vector<SendRequest> requests;
  {
    const std::lock_guard lock(mMutex);
    requests.swap(mSendRequests);
    if (mPendingKeys) {
      mContext.mKeys = std::move(mPendingKeys);
      mPendingKeys = nullptr;
    }
  }
  for (SendRequest& request : requests) {
    Guard(*this, [&] { Dispatch(std::move(request)); });
  }
}

void
PeerTransport::Loop::Dispatch(SendRequest aRequest)
{
  const NodeId& peer = aRequest.mMessage.mPeer;
  const Address address =
    aRequest.mAddress.Empty() ? AddressOf(peer) : aRequest.mAddress;
  const bool isTooLong =
    aRequest.mMessage.mFrame.size() + kMaxFrameOverheadBytes >
    kMaxPeerFrameBytes;
  if (address.Empty() || isTooLong) {
    ++mContext.mCounters.mMessagesDropped;
    mContext.ReportLost(peer);
    return;
  }
  auto& link = mOutgoing[address];
  if (!link) {
    link =
      std::make_unique<OutgoingLink>(mContext, address, mContext.mRandom());
  }
  Guard(*link, [&] { link->Enqueue(std::move(aRequest.mMessage)); });
}

Address
PeerTransport::Loop::AddressOf(const NodeId& aPeer) const
{
  for (const auto& link : mIncoming) {
    if (link->IsGreeted() && link->PeerGreeting().mNode == aPeer) {
      return link->PeerGreeting().mAddress;
    }
  }
  return {};
}

// Visits every link, so it runs at a fixed rate and not after each message: a
// node that many others send to has hundreds of links.
void
PeerTransport::Loop::OnTimer()
{
  if (mContext.mNow < mNextTimerAt) {
    return;
  }
  mNextTimerAt = mContext.mNow + kMaxPollWait;
  for (const auto& [address, link] : mOutgoing) {
    Guard(*link, [&link = *link] { link.OnTimer(); });
  }
  for (const auto& link : mIncoming) {
    Guard(*link, [&link = *link] { link.OnTimer(); });
  }
  RemoveClosedLinks();
}

void
PeerTransport::Loop::RemoveClosedLinks()
{
  std::erase_if(mOutgoing,
                [](const auto& aItem) { return aItem.second->IsRemovable(); });
  std::erase_if(mIncoming, [](const auto& aLink) { return aLink->IsClosed(); });
}

void
PeerTransport::Loop::FlushAndClose()
{
  ProcessSendRequests();
  const Instant deadline = mContext.mNow + mSettings.mConnectTimeout;
  const auto isWritten = [](const auto& aItem) {
    return aItem.second->IsWritten();
  };
  while (mContext.mNow < deadline &&
         !std::all_of(mOutgoing.begin(), mOutgoing.end(), isWritten)) {
    Wait();
    OnTimer();
  }
  for (const auto& [address, link] : mOutgoing) {
    link->CloseIfWritten();
  }
  mOutgoing.clear();
  mIncoming.clear();
  mContext.mPoller.Remove(mServer);
  mServer.close();
}

std::size_t
PeerTransport::Loop::UnauthenticatedCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mIncoming.begin(), mIncoming.end(), [](const auto& aLink) {
      return !aLink->IsGreeted();
    }));
}

void
PeerTransport::Loop::OnReady(int /*aMode*/)
{
  try {
    Poco::Net::StreamSocket socket = mServer.acceptConnection();
    if (mIncoming.size() >= mSettings.mMaxIncomingConnections ||
        UnauthenticatedCount() >= mSettings.mMaxUnauthenticatedConnections) {
      socket.close();
      return;
    }
    socket.setBlocking(false);
    socket.setNoDelay(true);
    mIncoming.push_back(
      std::make_unique<IncomingLink>(mContext, *this, socket));
  } catch (const Poco::Exception&) {
    // The client disconnected before the accept, or the process is out of file
    // descriptors. The next poll round tries again.
  }
}

void
PeerTransport::Loop::OnGreeting(IncomingLink& aLink)
{
  for (const auto& other : mIncoming) {
    if (other.get() != &aLink && other->IsGreeted() &&
        other->PeerGreeting().mNode == aLink.PeerGreeting().mNode &&
        other->PeerGreeting().mLinkNumber == aLink.PeerGreeting().mLinkNumber) {
      Guard(*other, [&other = *other] { other.DrainAndClose(); });
    }
  }
}

PeerTransportCounts
PeerTransport::Loop::Counts() const
{
  const detail::Counters& counters = mContext.mCounters;
  return { counters.mMessagesSent,    counters.mMessagesReceived,
           counters.mBytesSent,       counters.mBytesReceived,
           counters.mConnectionsLost, counters.mFramesRejected,
           counters.mMessagesDropped };
}

} // namespace heatherfork
