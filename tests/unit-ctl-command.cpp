#include <sstream>
#include <string>
#include <thread>

#include "heatherfork/ctl/command.h"
#include "heatherfork/ctl/detail/admin_client.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace heatherfork;
using namespace heatherfork::ctl;

namespace {

/// Exit code and output of a command.
struct CommandResult
{
  ExitCode mCode = ExitCode::kOk;
  std::string mOut;
  std::string mError;
};

CommandResult
Run(const std::vector<std::string>& aCommandLine)
{
  std::ostringstream out;
  std::ostringstream error;
  const Console console{ out, error, "", Milliseconds(2000) };
  const ExitCode code = RunCommand(aCommandLine, console);
  return CommandResult{ code, out.str(), error.str() };
}

/// HTTP server on a free port that sends a fixed response to one request and
/// stores the head of the request.
class SingleResponseServer
{
public:
  explicit SingleResponseServer(std::string aResponse)
    : mResponse(std::move(aResponse))
    , mSocket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mThread([this] { Serve(); })
  {
  }

  SingleResponseServer(const SingleResponseServer&) = delete;
  SingleResponseServer& operator=(const SingleResponseServer&) = delete;
  ~SingleResponseServer()
  {
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  std::string Address() const { return mSocket.address().toString(); }

  /// Waits for the request and returns its head. Call it once.
  std::string Request()
  {
    mThread.join();
    return mRequest;
  }

private:
  void Serve()
  {
    if (!mSocket.poll(Poco::Timespan(5, 0), Poco::Net::Socket::SELECT_READ)) {
      return;
    }
    Poco::Net::StreamSocket connection = mSocket.acceptConnection();
    char byte = 0;
    while (mRequest.find("\r\n\r\n") == std::string::npos &&
           connection.receiveBytes(&byte, 1) == 1) {
      mRequest += byte;
    }
    connection.sendBytes(mResponse.data(), static_cast<int>(mResponse.size()));
    connection.shutdownSend();
  }

  std::string mResponse;
  std::string mRequest;
  Poco::Net::ServerSocket mSocket;
  std::thread mThread;
};

std::string
MakeHttpResponse(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\nConnection: close\r\n\r\n" + aBody;
}

/// POCO allocates pools of HTTP streams that live until the process exits. They
/// are filled before the first test, so that its leak check does not count
/// them.
ExitCode
FillPocoPools()
{
  // This code runs before main() enables the overloads.
  MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
  SingleResponseServer node(MakeHttpResponse("200 OK", "{}"));
  return Run({ "status", node.Address() }).mCode;
}

const ExitCode kFillPocoPoolsResult = FillPocoPools();

} // namespace

TEST_GROUP(Command){};

TEST(Command, ReportsWrongUsage)
{
  struct Row
  {
    std::vector<std::string> mCommandLine;
    const char* mError;
  };
  const Row kRows[] = {
    { { "frob" },
      "expected a command, found \"frob\"; see heatherforkctl --help\n" },
    { { "diff", "a" },
      "expected heatherforkctl diff OLD NEW, found 1 arguments\n" },
    { { "errors", "a" },
      "expected heatherforkctl errors, found 1 arguments\n" },
  };
  for (const Row& row : kRows) {
    const CommandResult result = Run(row.mCommandLine);
    CHECK(result.mCode == ExitCode::kUsage);
    STRCMP_EQUAL(row.mError, result.mError.c_str());
  }
  STRCMP_EQUAL(Usage().c_str(), Run({}).mError.c_str());
}

TEST(Command, ReportsMissingFiles)
{
  for (const char* name : { "check", "diff", "settings" }) {
    std::vector<std::string> commandLine{ name, "./none" };
    if (commandLine.front() == "diff") {
      commandLine.emplace_back("./none");
    }
    const CommandResult result = Run(commandLine);
    CHECK(result.mCode == ExitCode::kUnreachable);
    STRCMP_CONTAINS("expected a file that can be read, found none\n",
                    result.mError.c_str());
  }
}

TEST(Command, PrintsErrorTable)
{
  const CommandResult result = Run({ "errors" });
  CHECK(result.mCode == ExitCode::kOk);
  STRCMP_CONTAINS("105     unknown-model          404     not-run\n",
                  result.mOut.c_str());
  STRCMP_CONTAINS("616     out-of-range           -       -\n",
                  result.mOut.c_str());
}

TEST_GROUP_BASE(CommandToNode, Utest){};

TEST(CommandToNode, PrintsResponseAsTables)
{
  SingleResponseServer node(
    MakeHttpResponse("200 OK", R"({"node": "n1", "load": 0.5,
    "leaving": false, "members": [{"name": "n1", "zone": "\u001b[31m"},
    {"name": "n2", "epoch": 3}], "slots": {"free": 7, "zones": ["a", "b"]}})"));
  const CommandResult result = Run({ "status", node.Address() });
  STRCMP_EQUAL("", result.mError.c_str());
  STRCMP_EQUAL("node     n1\n"
               "load     0.5\n"
               "leaving  no\n"
               "\n"
               "members:\n"
               "name  zone   epoch\n"
               "n1    ?[31m  -\n"
               "n2    -      3\n"
               "\n"
               "slots:\n"
               "free  7\n"
               "\n"
               "zones:\n"
               "a\n"
               "b\n",
               result.mOut.c_str());
  STRCMP_CONTAINS("GET /admin/status HTTP/1.1\r\n", node.Request().c_str());
}

TEST(CommandToNode, EscapesRequestIdInPath)
{
  CHECK(kFillPocoPoolsResult == ExitCode::kOk);
  SingleResponseServer node(MakeHttpResponse("200 OK", "[]"));
  const CommandResult result =
    Run({ "explain", node.Address(), "a/../b?c d%" });
  CHECK(result.mCode == ExitCode::kOk);
  STRCMP_CONTAINS("GET /admin/explain/a%2F..%2Fb%3Fc%20d%25 HTTP/1.1\r\n",
                  node.Request().c_str());
}

TEST(CommandToNode, SendsKeyAsBearerToken)
{
  SingleResponseServer node(MakeHttpResponse("200 OK", "{}"));
  const ctl::detail::AdminClient client(
    node.Address(), "k", Milliseconds(2000));
  CHECK(client.Get("/admin/status").ok());
  STRCMP_CONTAINS("Authorization: Bearer k\r\n", node.Request().c_str());
}

TEST(CommandToNode, ReportsRefusalsAndInvalidResponses)
{
  struct Row
  {
    std::string mResponse;
    const char* mMessage;
  };
  const Row kRows[] = {
    { MakeHttpResponse("404 Not Found", R"({"error": {"message": "no such"}})"),
      "/admin/status: expected status 200, found 404: no such\n" },
    { MakeHttpResponse("500 Oops", "oops"),
      "/admin/status: expected status 200, found 500\n" },
    { MakeHttpResponse("200 OK", "{"),
      "/admin/status: expected JSON, found something else\n" },
    { "", ": expected an answer, found No message received\n" },
  };
  for (const Row& row : kRows) {
    SingleResponseServer node(row.mResponse);
    const CommandResult result = Run({ "status", node.Address() });
    node.Request();
    CHECK(result.mCode == ExitCode::kUnreachable);
    STRCMP_EQUAL((node.Address() + row.mMessage).c_str(),
                 result.mError.c_str());
  }
}
