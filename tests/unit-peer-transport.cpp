#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "heatherfork/peer_transport.h"

// Must come last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

const std::string kKey = "the key of this test's fleet";
constexpr auto kAwaitTimeout = std::chrono::seconds(5);

/// Records messages and losses.
class RecordingListener : public PeerListener
{
public:
  void OnMessage(const NodeId& aFrom, PeerMessage aMessage) override
  {
    const std::lock_guard lock(mMutex);
    mFrom = aFrom;
    mNumbers.push_back(std::get<ProbeRelayed>(aMessage).mNumber);
    mChanged.notify_all();
  }

  void OnPeerLost(const NodeId& aPeer) override
  {
    const std::lock_guard lock(mMutex);
    mLost.push_back(aPeer);
    mChanged.notify_all();
  }

  bool AwaitMessages(std::size_t aCount)
  {
    return Await([&] { return mNumbers.size() >= aCount; });
  }

  bool AwaitLost(const NodeId& aPeer)
  {
    return Await([&] {
      return std::find(mLost.begin(), mLost.end(), aPeer) != mLost.end();
    });
  }

  std::vector<std::uint64_t> Numbers()
  {
    const std::lock_guard lock(mMutex);
    return mNumbers;
  }

  std::size_t LostCount()
  {
    const std::lock_guard lock(mMutex);
    return mLost.size();
  }

private:
  bool Await(const std::function<bool()>& aCondition)
  {
    std::unique_lock lock(mMutex);
    return mChanged.wait_for(lock, kAwaitTimeout, aCondition);
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  NodeId mFrom;
  std::vector<std::uint64_t> mNumbers;
  std::vector<NodeId> mLost;
};

/// A transport with a recording listener.
struct TestNode
{
  explicit TestNode(const std::string& aName,
                    Incarnation aIncarnation = 1,
                    std::vector<std::string> aKeys = { kKey },
                    const Address& aListen = Address{ "127.0.0.1:0" })
    : mId{ NodeName{ aName }, aIncarnation }
  {
    PeerTransportSettings settings;
    settings.mSelf = mId;
    settings.mListenAddress = aListen;
    settings.mKeys = std::move(aKeys);
    settings.mPingInterval = Milliseconds(50);
    settings.mIdlePingInterval = Milliseconds(200);
    settings.mPingTimeout = Milliseconds(200);
    settings.mConnectTimeout = Milliseconds(300);
    settings.mMaxQueuedBytes = 100000;
    mTransport = std::make_unique<PeerTransport>(settings, mListener);
    CHECK(mTransport->Start().ok());
  }

  void Send(const NodeId& aPeer, const Address& aAddress, std::uint64_t aNumber)
  {
    mTransport->Send(aPeer, aAddress, ProbeRelayed{ aNumber, mId });
  }

  NodeId mId;
  RecordingListener mListener;
  std::unique_ptr<PeerTransport> mTransport;
};

/// TCP proxy that can stall its connections: they stay open and carry no more
/// data.
class StallingProxy
{
public:
  explicit StallingProxy(const Address& aTarget)
    : mTarget(aTarget)
    , mServer(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mThread([this] { Run(); })
  {
  }

  ~StallingProxy()
  {
    mIsStopping = true;
    mThread.join();
  }

  Address ProxyAddress() const
  {
    return Address{ mServer.address().toString() };
  }
  void StallConnections() { mStalledUpTo = mConnectionCount.load(); }

private:
  struct ProxiedConnection
  {
    int mNumber;
    Poco::Net::StreamSocket mClientSide;
    Poco::Net::StreamSocket mServerSide;
  };

  void Run()
  {
    std::vector<ProxiedConnection> connections;
    const Poco::Timespan wait(1000);
    while (!mIsStopping) {
      if (mServer.poll(wait, Poco::Net::Socket::SELECT_READ)) {
        connections.push_back(ProxiedConnection{
          ++mConnectionCount,
          mServer.acceptConnection(),
          Poco::Net::StreamSocket(Poco::Net::SocketAddress(mTarget.mValue)) });
      }
      std::erase_if(connections, [&](ProxiedConnection& aConnection) {
        const bool isStalled = aConnection.mNumber <= mStalledUpTo;
        return !isStalled &&
               (!Forward(aConnection.mClientSide, aConnection.mServerSide) ||
                !Forward(aConnection.mServerSide, aConnection.mClientSide));
      });
    }
  }

  static bool Forward(Poco::Net::StreamSocket& aFrom,
                      Poco::Net::StreamSocket& aTo)
  {
    char buf[4096];
    if (!aFrom.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      return true;
    }
    const int n = aFrom.receiveBytes(buf, sizeof(buf));
    return n > 0 && aTo.sendBytes(buf, n) == n;
  }

  Address mTarget;
  Poco::Net::ServerSocket mServer;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<int> mConnectionCount{ 0 };
  std::atomic<int> mStalledUpTo{ 0 };
  std::thread mThread;
};

// The leak detector's operator new is not thread-safe.
[[maybe_unused]] const bool kIsLeakCheckOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

std::vector<std::uint64_t>
NumbersBelow(std::uint64_t aCount)
{
  std::vector<std::uint64_t> numbers;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    numbers.push_back(i);
  }
  return numbers;
}

} // namespace

TEST_GROUP(PeerTransport){};

TEST(PeerTransport, DeliversMessagesOnceAndInOrderByAddressOrNodeId)
{
  constexpr std::uint64_t kMessageCount = 500;
  TestNode a("a");
  TestNode b("b");
  const NodeId unknown{ NodeName{ "" }, 0 };
  for (std::uint64_t i = 0; i < kMessageCount; ++i) {
    a.Send(i % 2 == 0 ? unknown : b.mId, b.mTransport->ListenAddress(), i);
  }
  CHECK(b.mListener.AwaitMessages(kMessageCount));
  CHECK(b.mListener.Numbers() == NumbersBelow(kMessageCount));
  // b knows a's address from a's greeting.
  b.Send(a.mId, Address{}, 0);
  CHECK(a.mListener.AwaitMessages(1));
  CHECK_EQUAL(0U, a.mListener.LostCount());
}

TEST(PeerTransport, StopFlushesQueueAndReportsNoLoss)
{
  constexpr std::uint64_t kMessageCount = 200;
  TestNode b("b");
  {
    TestNode a("a");
    for (std::uint64_t i = 0; i < kMessageCount; ++i) {
      a.Send(b.mId, b.mTransport->ListenAddress(), i);
    }
    a.mTransport->Stop();
  }
  CHECK(b.mListener.AwaitMessages(kMessageCount));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK_EQUAL(0U, b.mListener.LostCount());
}

TEST(PeerTransport, DetectsAndReplacesStalledConnection)
{
  TestNode a("a");
  TestNode b("b");
  StallingProxy proxy(b.mTransport->ListenAddress());
  a.Send(b.mId, proxy.ProxyAddress(), 0);
  CHECK(b.mListener.AwaitMessages(1));
  proxy.StallConnections();
  a.Send(b.mId, proxy.ProxyAddress(), 1);
  const auto start = std::chrono::steady_clock::now();
  CHECK(a.mListener.AwaitLost(b.mId));
  // Detection takes a ping interval and a ping timeout, 250 ms together. The
  // limit allows for a busy machine.
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
  a.Send(b.mId, proxy.ProxyAddress(), 2);
  CHECK(b.mListener.AwaitMessages(2));
  CHECK(b.mListener.Numbers() == (std::vector<std::uint64_t>{ 0, 2 }));
  // The receiving node reports the possible loss as well.
  CHECK(b.mListener.AwaitLost(a.mId));
}

TEST(PeerTransport, DropsMessagesToPreviousIncarnation)
{
  TestNode a("a");
  auto b = std::make_unique<TestNode>("b", 1);
  const NodeId first = b->mId;
  const Address address = b->mTransport->ListenAddress();
  a.Send(first, address, 0);
  CHECK(b->mListener.AwaitMessages(1));
  b.reset();
  CHECK(a.mListener.AwaitLost(first));
  b = std::make_unique<TestNode>("b", 2, std::vector{ kKey }, address);
  const std::size_t before = a.mListener.LostCount();
  a.Send(first, address, 1);
  a.Send(b->mId, address, 2);
  CHECK(b->mListener.AwaitMessages(1));
  CHECK(b->mListener.Numbers() == std::vector<std::uint64_t>{ 2 });
  CHECK(a.mListener.LostCount() > before);
}

TEST(PeerTransport, ReportsLossIfMessageCannotBeSent)
{
  struct Row
  {
    const char* mName;
    Address mAddress;
  };
  TestNode otherKeyNode("stranger", 1, { "another key, as long" });
  const std::vector<Row> rows = {
    { "no address", Address{} },
    { "a name", Address{ "localhost:1" } },
    { "nobody listens", Address{ "127.0.0.1:1" } },
    { "wrong key", otherKeyNode.mTransport->ListenAddress() },
  };
  TestNode a("a");
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const NodeId peer{ NodeName{ rows[i].mName }, i + 1 };
    a.Send(peer, rows[i].mAddress, i);
    CHECK_TEXT(a.mListener.AwaitLost(peer), rows[i].mName);
  }
  CHECK(otherKeyNode.mListener.Numbers().empty());
}

TEST(PeerTransport, ReportsLossAndDropsMessagesIfQueueIsFull)
{
  constexpr std::uint64_t kMessageCount = 5000;
  TestNode a("a");
  const NodeId peer{ NodeName{ "b" }, 1 };
  // Listens and never responds.
  Poco::Net::ServerSocket unresponsive(
    Poco::Net::SocketAddress("127.0.0.1", 0));
  for (std::uint64_t i = 0; i < kMessageCount; ++i) {
    a.Send(peer, Address{ unresponsive.address().toString() }, i);
  }
  CHECK(a.mListener.AwaitLost(peer));
  CHECK(a.mTransport->Counts().mMessagesDropped > 0);
}

TEST(PeerTransport, RotatesKeysWithoutLoss)
{
  const std::string nextKey = "the next key of this fleet";
  TestNode a("a");
  TestNode b("b");
  const Address address = b.mTransport->ListenAddress();
  const std::vector<std::vector<std::string>> steps = { { kKey, nextKey },
                                                        { nextKey, kKey },
                                                        { nextKey } };
  std::uint64_t sentCount = 0;
  a.Send(b.mId, address, sentCount++);
  for (const auto& keys : steps) {
    CHECK(b.mListener.AwaitMessages(sentCount));
    a.mTransport->SetKeys(keys);
    b.mTransport->SetKeys(keys);
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    a.Send(b.mId, address, sentCount++);
  }
  CHECK(b.mListener.AwaitMessages(sentCount));
  CHECK_EQUAL(0U, a.mListener.LostCount());
  CHECK_EQUAL(0U, b.mListener.LostCount());
}
