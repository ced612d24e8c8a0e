// Tests that one malformed frame, or one exception, ends no more than its
// connection.

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include "heatherfork/detail/peer/greeting.h"
#include "heatherfork/detail/peer/key_ring.h"
#include "heatherfork/detail/peer/session.h"
#include "heatherfork/peer_frame.h"
#include "heatherfork/peer_transport.h"

// Must come last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using detail::FrameKind;
using detail::KeyRing;
using detail::Session;

namespace {

const std::string kKey = "the key of this test's fleet";
const std::string kReason = "a message that no one expected";
constexpr std::uint64_t kUnexpected = 13;
constexpr auto kAwaitTimeout = std::chrono::seconds(5);

// The leak detector's operator new is not thread-safe.
[[maybe_unused]] const bool kIsLeakCheckOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

bool
Await(const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + kAwaitTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// Throws at the message kUnexpected, and at losses if told to.
class ThrowingListener : public PeerListener
{
public:
  void OnMessage(const NodeId& /*aFrom*/, PeerMessage aMessage) override
  {
    if (std::get<ProbeRelayed>(aMessage).mNumber == kUnexpected) {
      throw std::runtime_error(kReason);
    }
    ++mMessages;
  }

  void OnPeerLost(const NodeId& /*aPeer*/) override
  {
    ++mLost;
    if (mThrowsAtLoss) {
      throw std::runtime_error(kReason);
    }
  }

  void OnFault(const std::string& aReason) override
  {
    const std::lock_guard lock(mMutex);
    mFaults.push_back(aReason);
  }

  std::size_t FaultCount()
  {
    const std::lock_guard lock(mMutex);
    for (const std::string& fault : mFaults) {
      STRCMP_CONTAINS(kReason.c_str(), fault.c_str());
    }
    return mFaults.size();
  }

  std::atomic<bool> mThrowsAtLoss{ false };
  std::atomic<int> mMessages{ 0 };
  std::atomic<int> mLost{ 0 };

private:
  std::mutex mMutex;
  std::vector<std::string> mFaults;
};

struct GuardedNode
{
  explicit GuardedNode(const std::string& aName)
    : mId{ NodeName{ aName }, 1 }
  {
    PeerTransportSettings settings;
    settings.mSelf = mId;
    settings.mListenAddress = Address{ "127.0.0.1:0" };
    settings.mKeys = { kKey };
    settings.mPingInterval = Milliseconds(50);
    settings.mMaxBackoff = Milliseconds(50);
    settings.mMaxQueuedBytes = 100000;
    mTransport = std::make_unique<PeerTransport>(settings, mListener);
    CHECK(mTransport->Start().ok());
  }

  void Send(const GuardedNode& aTo, std::uint64_t aNumber)
  {
    mTransport->Send(
      aTo.mId, aTo.mTransport->ListenAddress(), ProbeRelayed{ aNumber, mId });
  }

  NodeId mId;
  ThrowingListener mListener;
  std::unique_ptr<PeerTransport> mTransport;
};

/// A dialer that holds the key and sends what it likes.
class RawDialer
{
public:
  explicit RawDialer(const GuardedNode& aTo)
    : mSession(Session::Side::kDialer,
               std::make_shared<const KeyRing>(std::vector{ kKey }),
               detail::RandomNonce())
    , mSocket(Poco::Net::SocketAddress(aTo.mTransport->ListenAddress().mValue))
  {
    mSocket.setReceiveTimeout(Poco::Timespan(5, 0));
    SendBytes(mSession.InitialBytes());
    while (!mSession.IsReady()) {
      CHECK(Receive());
    }
  }

  void Greet()
  {
    detail::Greeting greeting;
    greeting.mNode = mId;
    greeting.mAddress = Address{ "127.0.0.1:1" };
    greeting.mLinkNumber = 1;
    Send(FrameKind::kHello, EncodeGreeting(greeting));
    CHECK(Receive());
  }

  void Send(FrameKind aKind, const std::string& aPayload)
  {
    SendBytes(mSession.Seal(aKind, aPayload));
  }

  void SendBytes(const std::string& aBytes)
  {
    mSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  }

  std::string Message() const
  {
    return EncodeFrame(mId, ProbeRelayed{ 1, mId });
  }

  bool AwaitEnd()
  {
    try {
      while (Receive()) {
      }
      return true;
    } catch (const Poco::TimeoutException&) {
      return false;
    } catch (const Poco::Exception&) {
      return true; // A reset.
    }
  }

private:
  bool Receive()
  {
    char buffer[4096];
    const int count = mSocket.receiveBytes(buffer, sizeof(buffer));
    return count > 0 &&
           mSession.Receive({ buffer, static_cast<std::size_t>(count) }).ok();
  }

  const NodeId mId{ NodeName{ "raw" }, 1 };
  Session mSession;
  Poco::Net::StreamSocket mSocket;
};

struct Row
{
  const char* mName;
  bool mIsGreeted;
  std::function<void(RawDialer&)> mSend;
};

const Row kMalformed[] = {
  { "no hello first",
    false,
    [](RawDialer& aTo) { aTo.Send(FrameKind::kMessage, aTo.Message()); } },
  { "an empty hello",
    false,
    [](RawDialer& aTo) { aTo.Send(FrameKind::kHello, ""); } },
  { "a hello of other bytes",
    false,
    [](RawDialer& aTo) {
      aTo.Send(FrameKind::kHello, std::string(200, '\xff'));
    } },
  { "a length without end",
    false,
    [](RawDialer& aTo) { aTo.SendBytes("\xff\xff\xff\xff"); } },
  { "a length of nothing",
    true,
    [](RawDialer& aTo) { aTo.SendBytes(std::string(4, '\0')); } },
  { "a wrong tag",
    true,
    [](RawDialer& aTo) {
      aTo.SendBytes(std::string("\x40\0\0\0", 4) + std::string(64, 'a'));
    } },
  { "an unknown kind",
    true,
    [](RawDialer& aTo) { aTo.Send(static_cast<FrameKind>(99), ""); } },
  { "a second hello",
    true,
    [](RawDialer& aTo) { aTo.Send(FrameKind::kHello, ""); } },
  { "an empty message",
    true,
    [](RawDialer& aTo) { aTo.Send(FrameKind::kMessage, ""); } },
  { "a message of zeros",
    true,
    [](RawDialer& aTo) {
      aTo.Send(FrameKind::kMessage, std::string(100, '\0'));
    } },
  { "a message of other bytes",
    true,
    [](RawDialer& aTo) {
      aTo.Send(FrameKind::kMessage, std::string(100, '\xff'));
    } },
  { "half a message",
    true,
    [](RawDialer& aTo) {
      const std::string whole = aTo.Message();
      aTo.Send(FrameKind::kMessage, whole.substr(0, whole.size() / 2));
    } },
  { "another sender",
    true,
    [](RawDialer& aTo) {
      const NodeId other{ NodeName{ "other" }, 1 };
      aTo.Send(FrameKind::kMessage,
               EncodeFrame(other, ProbeRelayed{ 1, other }));
    } },
};

void
CheckDelivers(GuardedNode& aFrom, GuardedNode& aTo, const char* aName)
{
  const int before = aTo.mListener.mMessages;
  CHECK_TEXT(Await([&] {
               aFrom.Send(aTo, 1);
               std::this_thread::sleep_for(std::chrono::milliseconds(10));
               return aTo.mListener.mMessages > before;
             }),
             aName);
}

} // namespace

TEST_GROUP(PeerGuard){};

TEST(PeerGuard, MalformedFrameEndsItsConnectionAlone)
{
  GuardedNode a("a");
  GuardedNode b("b");
  CheckDelivers(a, b, "before");
  for (const Row& row : kMalformed) {
    const std::uint64_t rejected = b.mTransport->Counts().mFramesRejected;
    RawDialer dialer(b);
    if (row.mIsGreeted) {
      dialer.Greet();
    }
    row.mSend(dialer);
    CHECK_TEXT(dialer.AwaitEnd(), row.mName);
    CHECK_TEXT(
      Await([&] { return b.mTransport->Counts().mFramesRejected > rejected; }),
      row.mName);
    CheckDelivers(a, b, row.mName);
  }
  CHECK_EQUAL(0, a.mListener.mLost);
  CHECK_EQUAL(0U, b.mListener.FaultCount());
}

TEST(PeerGuard, AnyFlippedByteOfMessageLeavesProcessRunning)
{
  GuardedNode b("b");
  const std::string whole = RawDialer(b).Message();
  for (std::size_t n = 0; n < whole.size(); ++n) {
    RawDialer dialer(b);
    dialer.Greet();
    std::string bytes = whole;
    bytes[n] = static_cast<char>(~bytes[n]);
    dialer.Send(FrameKind::kMessage, bytes);
    dialer.Send(FrameKind::kGoodbye, "");
  }
  GuardedNode a("a");
  CheckDelivers(a, b, "after");
}

TEST(PeerGuard, ExceptionOfHandlerEndsItsConnectionAlone)
{
  GuardedNode a("a");
  GuardedNode b("b");
  GuardedNode c("c");
  CheckDelivers(c, b, "before");
  a.Send(b, kUnexpected);
  CHECK(Await([&] { return b.mListener.FaultCount() == 1; }));
  CHECK(Await([&] { return a.mListener.mLost == 1; }));
  CheckDelivers(a, b, "a new connection");
  CheckDelivers(c, b, "the other connection");
  CHECK_EQUAL(0, c.mListener.mLost);
}

TEST(PeerGuard, ExceptionAtLossLeavesProcessRunning)
{
  GuardedNode a("a");
  a.mListener.mThrowsAtLoss = true;
  const NodeId absent{ NodeName{ "absent" }, 1 };
  // No address, a refused connection, a node that ends.
  a.mTransport->Send(absent, Address{}, ProbeRelayed{ 1, a.mId });
  a.mTransport->Send(
    absent, Address{ "127.0.0.1:1" }, ProbeRelayed{ 1, a.mId });
  CHECK(Await([&] { return a.mListener.FaultCount() >= 2; }));
  {
    GuardedNode b("b");
    CheckDelivers(a, b, "while the other runs");
    a.Send(b, kUnexpected);
    CHECK(Await([&] { return a.mListener.FaultCount() >= 3; }));
  }
  GuardedNode c("c");
  CheckDelivers(a, c, "afterwards");
  CheckDelivers(c, a, "to the node itself");
}
