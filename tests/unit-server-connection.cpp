#include "heatherfork/detail/relay/connect_times.h"
#include "heatherfork/detail/relay/server_connection.h"
#include "heatherfork/detail/relay/turn_queue.h"

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::relay;

namespace {

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

class Recorder final : public ExchangeListener
{
public:
  void OnConnected() override { ++mConnects; }
  bool OnHead(const HttpHead&) override { return true; }
  void OnBody(std::string_view aBytes) override
  {
    mBody += aBytes;
    if (mIsSlow) {
      std::this_thread::sleep_for(std::chrono::microseconds(kLongTurn.count()));
    }
  }
  void OnDone() override { mIsDone = true; }
  bool MaySend() override { return mMaySend; }
  void OnFailed(const CallFailure& aFailure) override
  {
    mHasFailed = true;
    mMayHaveSent = aFailure.mMayHaveSent;
  }

  std::string mBody;
  int mConnects = 0;
  bool mIsDone = false;
  bool mHasFailed = false;
  bool mMaySend = true;
  bool mIsSlow = false; ///< Ends a turn with each read.
  bool mMayHaveSent = false;
};

/// The other side of one connection.
class Server
{
public:
  Server()
    : mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    CHECK_EQUAL(0, bind(mListener, generic, size));
    CHECK_EQUAL(0, listen(mListener, 1));
    CHECK_EQUAL(0, getsockname(mListener, generic, &size));
    mAddress =
      Address{ "127.0.0.1:" + std::to_string(ntohs(address.sin_port)) };
  }
  ~Server() { close(mListener); }

  void Accept() { mPeer = accept(mListener, nullptr, nullptr); }
  void ReadRequest() const
  {
    std::array<char, 1000> bytes{};
    CHECK(recv(mPeer, bytes.data(), bytes.size(), 0) > 0);
  }
  void CheckEnd() const
  {
    std::array<char, 1000> bytes{};
    CHECK_EQUAL(0, recv(mPeer, bytes.data(), bytes.size(), 0));
  }
  void Send(const std::string& aBytes) const
  {
    CHECK_EQUAL(static_cast<ssize_t>(aBytes.size()),
                send(mPeer, aBytes.data(), aBytes.size(), MSG_NOSIGNAL));
  }
  /// Waits until the other side's system has received all that was sent.
  void WaitUntilReceived() const
  {
    int unsent = 1;
    for (int n = 0; n < 1000 && unsent > 0; ++n) {
      CHECK_EQUAL(0, ioctl(mPeer, SIOCOUTQ, &unsent));
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK_EQUAL(0, unsent);
  }
  void Close(bool aIsReset) const
  {
    const linger now{ aIsReset ? 1 : 0, 0 };
    setsockopt(mPeer, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(mPeer);
  }

  Address mAddress;

private:
  int mListener;
  int mPeer = -1;
};

void
RunUntilEnd(IoLoop& aLoop, const Recorder& aRecorder)
{
  for (int n = 0; n < 500 && !aRecorder.mIsDone && !aRecorder.mHasFailed; ++n) {
    aLoop.Wait(Milliseconds(10));
  }
}

} // namespace

TEST_GROUP(ServerConnection){};

// Guards against one figure for all replicas: how long a connect may take
// follows from how long connects take.
TEST(ServerConnection, ConnectLimitFollowsFromConnects)
{
  struct Row
  {
    Duration mConnect;
    Duration mLimit;
  };
  // A lost packet is repeated after 0.2 s, that of a connect after 1 s.
  const Row kRows[] = {
    { Milliseconds(1), Milliseconds(200) },
    { Milliseconds(150), Milliseconds(200) },
    { Milliseconds(300), Milliseconds(300) },
    { Milliseconds(3000), Milliseconds(1000) },
  };
  for (const Row& row : kRows) {
    ConnectTimes times;
    CHECK(times.Limit() == Milliseconds(1000));
    for (int n = 0; n < 50; ++n) {
      times.Observe(row.mConnect);
    }
    CHECK(times.Limit() >= row.mLimit);
    CHECK(times.Limit() <= row.mLimit + Milliseconds(5));
  }
}

TEST(ServerConnection, ReportsOnlyNewConnections)
{
  IoLoop loop;
  Server server;
  ServerConnection connection(loop, server.mAddress);
  for (const int connects : { 1, 0 }) {
    Recorder recorder;
    connection.Begin(kRequest, false, recorder);
    if (connects == 1) {
      server.Accept();
    }
    loop.Wait(Milliseconds(1000));
    server.ReadRequest();
    server.Send("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
    RunUntilEnd(loop, recorder);
    CHECK(recorder.mIsDone);
    CHECK_EQUAL(connects, recorder.mConnects);
  }
}

// The write takes the socket's error, so that the read after it finds an end.
// A long body takes several turns, each of which writes again.
TEST(ServerConnection, ResetFoundByWriteLeavesUnframedResponseIncomplete)
{
  const std::string kShort = "body";
  const std::string kLong(60000, 'b'); // The other side doesn't read it yet.
  const auto kUpload = std::make_shared<const std::string>(1000000, 'u');
  struct Row
  {
    const char* mName;
    std::string mHead;
    const std::string& mBody;
    bool mIsReset;
    bool mIsDone;
  };
  const Row kRows[] = {
    { "no length, reset", "HTTP/1.1 200 X\r\n\r\n", kShort, true, false },
    { "no length, closed", "HTTP/1.1 200 X\r\n\r\n", kShort, false, true },
    { "no length, long, reset", "HTTP/1.1 200 X\r\n\r\n", kLong, true, false },
    { "no length, long, closed", "HTTP/1.1 200 X\r\n\r\n", kLong, false, true },
    { "a length, reset",
      "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n",
      kShort,
      true,
      true },
    { "a longer length, reset",
      "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n",
      kShort,
      true,
      false },
  };
  for (const Row& row : kRows) {
    IoLoop loop;
    Server server;
    ServerConnection connection(loop, server.mAddress);
    Recorder first;
    connection.Begin(kRequest, false, first);
    server.Accept();
    loop.Wait(Milliseconds(1000));
    server.ReadRequest();
    server.Send("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
    RunUntilEnd(loop, first);
    CHECK_TEXT(first.mIsDone, row.mName);
    server.Send(row.mHead + row.mBody);
    server.WaitUntilReceived();
    server.Close(row.mIsReset);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    Recorder second;
    second.mIsSlow = true;
    connection.Begin(kRequest, false, second, kUpload);
    RunUntilEnd(loop, second);
    CHECK_EQUAL_TEXT(row.mIsDone, second.mIsDone, row.mName);
    CHECK_EQUAL_TEXT(!row.mIsDone, second.mHasFailed, row.mName);
    connection.Abandon();
  }
}

// Holds for every listener: calls of replicas, calls that free a KV cache, the
// store.
TEST(ServerConnection, BrokenResponseEndsExchangeAtOnce)
{
  const std::string kLength = "Content-Length: 4\r\n";
  const std::string kRows[] = {
    "HTTP/1.1 000 X\r\n" + kLength + "\r\nbody",
    "HTTP/1.1 101 X\r\n" + kLength + "\r\nbody",
    "HTTP/1.1 600 X\r\n\r\nbody",
    "HTTP/1.1 200 X\r\nX Y: v\r\n" + kLength + "\r\nbody",
    "HTTP/1.1 200 X\r\n" + kLength + "X\x01: v\r\n\r\nbody",
    "HTTP/1.1 200 X\r\nX Y",
    "no response",
  };
  for (const std::string& row : kRows) {
    IoLoop loop;
    Server server;
    ServerConnection connection(loop, server.mAddress);
    Recorder recorder;
    connection.Begin(kRequest, false, recorder);
    server.Accept();
    loop.Wait(Milliseconds(1000));
    server.ReadRequest();
    server.Send(row);
    RunUntilEnd(loop, recorder);
    CHECK_TEXT(recorder.mHasFailed, row.c_str());
    CHECK_TEXT(recorder.mMayHaveSent, row.c_str());
    STRCMP_EQUAL_TEXT("", recorder.mBody.c_str(), row.c_str());
    CHECK_FALSE_TEXT(connection.CanBeReused(), row.c_str());
    server.CheckEnd();
  }
}

// The time at which a request may be sent can end during the connect, or while
// the process is paused.
TEST(ServerConnection, SendsNothingWhenItIsTooLate)
{
  for (const bool isKept : { false, true }) {
    Server server;
    IoLoop loop;
    ServerConnection connection(loop, server.mAddress);
    if (isKept) {
      Recorder first;
      connection.Begin(kRequest, false, first);
      loop.Wait(Milliseconds(10));
      server.Accept();
      server.ReadRequest();
      server.Send("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
      RunUntilEnd(loop, first);
      CHECK(connection.CanBeReused());
    }
    Recorder late;
    late.mMaySend = false;
    connection.Begin(kRequest, false, late);
    RunUntilEnd(loop, late);
    CHECK(late.mHasFailed);
    CHECK_FALSE(late.mMayHaveSent);
    if (!isKept) {
      server.Accept();
    }
    server.CheckEnd();
  }
}

TEST(ServerConnection, PausedReadingGoesOnAfterItsEnd)
{
  struct Row
  {
    const char* mName;
    bool mResumes;
    bool mIsReset;
    bool mIsRead;
  };
  const Row kRows[] = {
    { "paused", false, false, false },
    { "resumed", true, false, true },
    { "reset by the other side", false, true, true },
  };
  for (const Row& row : kRows) {
    IoLoop loop;
    Server server;
    ServerConnection connection(loop, server.mAddress);
    Recorder recorder;
    connection.Begin(kRequest, false, recorder);
    server.Accept();
    loop.Wait(Milliseconds(1000));
    server.ReadRequest();
    connection.PauseReading();
    server.Send("HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nbody");
    if (row.mIsReset) {
      server.Close(true);
    }
    for (int n = 0; n < 3; ++n) {
      loop.Wait(Milliseconds(10));
    }
    CHECK_FALSE_TEXT(recorder.mIsDone && !row.mIsReset, row.mName);
    if (row.mResumes) {
      connection.ResumeReading();
      RunUntilEnd(loop, recorder);
    }
    CHECK_EQUAL_TEXT(
      row.mIsRead, recorder.mIsDone || recorder.mHasFailed, row.mName);
    connection.Abandon();
  }
}

// Guards against a peer that counts as paused since an earlier exchange.
TEST(ServerConnection, PauseCountsFromTheExchangeInProgress)
{
  IoLoop loop;
  Server server;
  ServerConnection connection(loop, server.mAddress);
  Recorder first;
  connection.Begin(kRequest, false, first);
  server.Accept();
  loop.Wait(Milliseconds(1000));
  server.ReadRequest();
  server.Send("HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nbody");
  RunUntilEnd(loop, first);
  CHECK(first.mIsDone);
  std::this_thread::sleep_for(
    std::chrono::microseconds((kPauseLimit + Milliseconds(100)).count()));
  Recorder second;
  constexpr std::size_t kUnreadBytes = std::size_t{ 16 } << 20;
  connection.Begin(
    kRequest, false, second, std::make_shared<std::string>(kUnreadBytes, 'b'));
  for (int n = 0; n < 30; ++n) {
    loop.Wait(Milliseconds(10));
    connection.OnTimer(SteadyNow());
    CHECK_FALSE(connection.IsPeerPaused());
  }
  CHECK_FALSE(second.mHasFailed);
  connection.Abandon();
}
