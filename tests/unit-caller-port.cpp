#include "heatherfork/detail/relay/caller_port.h"

#include <array>
#include <cerrno>
#include <deque>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::relay;

namespace {

constexpr std::size_t kMebibyte = std::size_t{ 1 } << 20;

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Keeps the responses, as a node does while replicas work on the requests.
class Listener final : public RequestListener
{
public:
  void OnRequest(CallerResponse aResponse,
                 const HttpHead& aHead,
                 std::string) override
  {
    if (aHead.mTarget == "/throw") {
      mThrown.emplace(std::move(aResponse));
      throw std::runtime_error("a request that no one expected");
    }
    mResponses.push_back(std::move(aResponse));
  }
  void OnBadRequest(CallerResponse aResponse, int) override
  {
    aResponse.Finish(false);
  }
  void OnDisconnect(const CallerConnection& aConnection) override
  {
    for (const CallerResponse& response : mResponses) {
      mDisconnected += response.BelongsTo(aConnection) ? 1 : 0;
    }
    mDisconnected += mThrown && mThrown->BelongsTo(aConnection) ? 1 : 0;
  }

  std::deque<CallerResponse> mResponses;
  std::optional<CallerResponse> mThrown;
  int mDisconnected = 0;
};

/// A port with the caller's ends of its connections.
class Port
{
public:
  Port()
    : mPort(mLoop, mListener, mIntake)
  {
    // A port that is free for the caller port to listen on.
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    mAddress.sin_family = AF_INET;
    mAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(mAddress);
    auto* generic = reinterpret_cast<sockaddr*>(&mAddress);
    CHECK_EQUAL(0, bind(descriptor, generic, size));
    CHECK_EQUAL(0, getsockname(descriptor, generic, &size));
    close(descriptor);
    const Address address{ "127.0.0.1:" +
                           std::to_string(ntohs(mAddress.sin_port)) };
    mPort.SetLimits(CallerLimits{});
    CHECK(mPort.Start(address).ok());
  }

  ~Port()
  {
    for (const int caller : mCallers) {
      close(caller);
    }
  }

  int Connect()
  {
    const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto* generic = reinterpret_cast<const sockaddr*>(&mAddress);
    CHECK_EQUAL(0, connect(caller, generic, sizeof(mAddress)));
    const timeval limit{ 5, 0 };
    setsockopt(caller, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    mCallers.push_back(caller);
    return caller;
  }

  int Ask(const std::string& aRequest = kRequest)
  {
    const int caller = Connect();
    CHECK(send(caller, aRequest.data(), aRequest.size(), MSG_NOSIGNAL) > 0);
    Run();
    return caller;
  }

  void Run()
  {
    for (int n = 0; n < 5; ++n) {
      mLoop.Wait(Milliseconds(5));
    }
  }

  /// Reads until the connection ends or aBytes have arrived.
  std::string Read(int aCaller, std::size_t aBytes)
  {
    std::string text;
    std::array<char, 65536> buf{};
    while (text.size() < aBytes) {
      mLoop.Wait(Milliseconds(1));
      const ssize_t n = recv(aCaller, buf.data(), buf.size(), MSG_DONTWAIT);
      if (n == 0 || (n < 0 && errno != EAGAIN)) {
        break;
      }
      text.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
    }
    return text;
  }

  IoLoop mLoop;
  Listener mListener;
  BodyIntake mIntake{ DivideMemory(128 * kMebibyte) };
  CallerPort mPort;

private:
  sockaddr_in mAddress{};
  std::vector<int> mCallers;
};

/// Sends a stream until its caller, which reads nothing, is disconnected.
void
SendTooMuch(CallerResponse& aResponse)
{
  const std::string piece(kMebibyte, 'a');
  for (int n = 0; n < 16; ++n) {
    aResponse.Send(piece);
  }
}

/// The ways in which a connection ends before its response.
enum class End
{
  kCallerCloses,
  kCallerResets,
  kTooMuchUnread,
  kTooMuchUnreadThenTimer, ///< The timer is due before the loop's next wait.
};

} // namespace

TEST_GROUP(CallerPort){};

// Guards against a user that goes on with a connection that was freed.
TEST(CallerPort, ReportsEachEndBeforeTheResponseAndKeepsItUsable)
{
  struct Row
  {
    const char* mName;
    End mEnd;
  };
  const Row kRows[] = {
    { "the caller closes", End::kCallerCloses },
    { "the caller resets", End::kCallerResets },
    { "too much unread", End::kTooMuchUnread },
    { "too much unread, the timer is first", End::kTooMuchUnreadThenTimer },
  };
  for (const Row& row : kRows) {
    Port port;
    const int caller = port.Ask();
    CHECK_EQUAL_TEXT(1U, port.mListener.mResponses.size(), row.mName);
    CallerResponse& response = port.mListener.mResponses.front();
    const bool isReset = row.mEnd == End::kCallerResets;
    if (row.mEnd == End::kCallerCloses || isReset) {
      const linger now{ isReset ? 1 : 0, 0 };
      setsockopt(caller, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      shutdown(caller, SHUT_RDWR);
    } else {
      SendTooMuch(response);
    }
    if (row.mEnd != End::kTooMuchUnreadThenTimer) {
      port.Run();
      CHECK_EQUAL_TEXT(1, port.mListener.mDisconnected, row.mName);
    }
    // Long after the request: no timeout may free the connection either.
    for (int n = 0; n < 3; ++n) {
      port.mPort.OnTimer(SteadyNow() + Milliseconds(60000));
    }
    CHECK_EQUAL_TEXT(1, port.mListener.mDisconnected, row.mName);
    const int other = port.Ask();
    SendTooMuch(response);
    response.Finish(true);
    port.Run();
    std::array<char, 1> buf{};
    CHECK_EQUAL_TEXT(-1, recv(other, buf.data(), 1, MSG_DONTWAIT), row.mName);
    CHECK_EQUAL_TEXT(1, port.mListener.mDisconnected, row.mName);
  }
}

TEST(CallerPort, ExceptionOfTheListenerEndsTheConnectionAndNoOther)
{
  Port port;
  port.Ask("GET /throw HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK_EQUAL(1, port.mListener.mDisconnected);
  port.mListener.mThrown->Send("late");
  port.Ask();
  CHECK_EQUAL(1U, port.mListener.mResponses.size());
}

TEST(CallerPort, ResponseThatIsDroppedEndsTheConnection)
{
  Port port;
  const int caller = port.Ask();
  port.mListener.mResponses.clear();
  STRCMP_EQUAL("", port.Read(caller, 1).c_str());
  CHECK_EQUAL(0, port.mListener.mDisconnected);
}

// A whole answer is limited by its budget alone, and charged until it is read.
TEST(CallerPort, WholeAnswerArrivesCompleteWhateverItsSize)
{
  for (const std::size_t size :
       { std::size_t{ 0 }, std::size_t{ 1 }, 2 * kMebibyte, 4 * kMebibyte }) {
    AnswerBudget budget(4 * kMebibyte);
    Port port;
    const int caller = port.Ask();
    BudgetedText body(budget);
    CHECK(body.TryAppend(std::string(size, 'a')));
    CHECK_EQUAL(size, budget.TakenBytes());
    {
      CallerResponse response = std::move(port.mListener.mResponses.front());
      port.mListener.mResponses.clear();
      response.Send("head;");
      response.Send(std::move(body));
      response.Finish(true);
    }
    // Later than any timeout would be, were the time not that of the writing.
    port.mPort.OnTimer(SteadyNow() + Milliseconds(1000));
    CHECK_EQUAL(size + 5, port.Read(caller, size + 5).size());
    CHECK_EQUAL(0U, budget.TakenBytes());
    CHECK_EQUAL(0, port.mListener.mDisconnected);
    CHECK(send(caller, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) > 0);
    port.Run();
    CHECK_EQUAL(1U, port.mListener.mResponses.size());
  }
}

TEST(CallerPort, BudgetIsReturnedWhenTheCallerGoes)
{
  AnswerBudget budget(8 * kMebibyte);
  Port port;
  const int caller = port.Ask();
  BudgetedText body(budget);
  CHECK(body.TryAppend(std::string(8 * kMebibyte, 'a')));
  port.mListener.mResponses.front().Send(std::move(body));
  port.mListener.mResponses.front().Finish(true);
  CHECK(budget.TakenBytes() > 0);
  shutdown(caller, SHUT_RDWR);
  port.Run();
  CHECK_EQUAL(0U, budget.TakenBytes());
}

// Guards against callers that are cut for a pause before their deadline, and
// against those that never read or never close.
TEST(CallerPort, ClosesAfterTheLastAnswerAtTheDeadlineOrOnceItIsRead)
{
  struct Row
  {
    const char* mName;
    std::size_t mReads;
    std::int64_t mOpenMs;
    std::int64_t mClosedMs;
  };
  constexpr std::size_t kBytes = 8 * kMebibyte;
  const Row kRows[] = {
    { "pauses within the answer", kBytes / 2, 3900, 4100 },
    { "reads all and does not close", kBytes, 1900, 2100 },
  };
  for (const Row& row : kRows) {
    AnswerBudget budget(kBytes);
    Port port;
    const std::size_t listening = port.mLoop.Descriptors();
    const int caller = port.Ask();
    BudgetedText body(budget);
    CHECK(body.TryAppend(std::string(kBytes, 'a')));
    CallerResponse& response = port.mListener.mResponses.front();
    response.SetRequest("r1", Milliseconds(4000));
    response.Send(std::move(body));
    response.Finish(false);
    const std::string text = port.Read(caller, row.mReads);
    CHECK_TEXT(text.size() >= row.mReads, row.mName);
    port.mPort.OnTimer(SteadyNow() + Milliseconds(600));
    const bool isRead = row.mReads == kBytes;
    CHECK_EQUAL_TEXT(!isRead, port.mPort.IsBusy(), row.mName);
    port.mPort.OnTimer(SteadyNow() + Milliseconds(row.mOpenMs));
    CHECK_EQUAL_TEXT(listening + 1, port.mLoop.Descriptors(), row.mName);
    CHECK_EQUAL_TEXT(!isRead, port.mPort.IsBusy(), row.mName);
    port.mPort.OnTimer(SteadyNow() + Milliseconds(row.mClosedMs));
    CHECK_EQUAL_TEXT(listening, port.mLoop.Descriptors(), row.mName);
    CHECK_FALSE_TEXT(port.mPort.IsBusy(), row.mName);
    CHECK_EQUAL_TEXT(0U, budget.TakenBytes(), row.mName);
  }
}

// Guards against answers to requests sent ahead that fill the memory, as their
// caller reads none.
TEST(CallerPort, RequestsSentAheadWaitUntilTheAnswersAreRead)
{
  constexpr std::size_t kRequests = 100;
  constexpr std::size_t kAnswerBytes = kMebibyte;
  Port port;
  std::string requests;
  for (std::size_t n = 0; n < kRequests; ++n) {
    requests += kRequest;
  }
  const int caller = port.Ask(requests);
  std::size_t answered = 0;
  const auto answer = [&] {
    for (; answered < port.mListener.mResponses.size(); ++answered) {
      CallerResponse& response = port.mListener.mResponses[answered];
      response.Send(std::string(kAnswerBytes, 'a'));
      response.Finish(true);
    }
  };
  answer();
  port.Run();
  answer();
  // More is answered only as far as the kernel takes it.
  CHECK(answered < kRequests / 2);
  std::size_t read = 0;
  while (read < kRequests * kAnswerBytes) {
    const std::size_t before = read;
    read += port.Read(caller, kAnswerBytes).size();
    CHECK(read > before);
    answer();
  }
  CHECK_EQUAL(kRequests, answered);
  CHECK_EQUAL(kRequests * kAnswerBytes, read);
  CHECK_EQUAL(0, port.mListener.mDisconnected);
}
