#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

#include "heatherfork/ctl/command.h"
#include "platform/wire.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::ctl;

namespace {

const platform::Wire kWire;

const std::string kSound = R"({"Version": 7, "Routes": [
  {"Name": "r-1", "Host": "h.example", "PathPrefix": "/a/", "Kind": "idempotent",
   "TimeoutMs": 4000, "TargetLatencyMs": 900, "Priority": 1, "MaxAttempts": 2,
   "Backends": [{"Service": "desk", "Weight": 90}, {"Service": "desk2", "Weight": 10}]}],
 "Services": [{"Name": "desk", "MaxConnections": 10},
              {"Name": "desk2", "MaxConnections": 10}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "w-1", "ApiKeys": ["first-key"], "Unit": "requests",
              "RatePerS": 5, "Burst": 10}]})";

std::string
With(const std::string& aOld, const std::string& aNew)
{
  std::string text = kSound;
  const std::size_t at = text.find(aOld);
  CHECK_TEXT(at != std::string::npos, aOld.c_str());
  return text.replace(at, aOld.size(), aNew);
}

std::string
Joined(const std::vector<std::string>& aTexts)
{
  std::string text;
  for (const std::string& line : aTexts) {
    text += line + ";";
  }
  return text;
}

/// A file that exists as long as this.
class File
{
public:
  explicit File(const std::string& aText)
  {
    const int descriptor = mkstemp(mPath.data());
    CHECK(descriptor >= 0);
    close(descriptor);
    std::ofstream(mPath) << aText;
  }
  ~File() { std::remove(mPath.c_str()); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  const std::string& Path() const { return mPath; }

private:
  std::string mPath = "/tmp/heatherfork-routes-XXXXXX";
};

struct CommandResult
{
  ExitCode mCode;
  std::string mOut;
  std::string mError;
};

CommandResult
Run(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> line{ "check-routes" };
  line.insert(line.end(), aArguments.begin(), aArguments.end());
  std::ostringstream out;
  std::ostringstream error;
  const Console console{ out, error, "", {}, {}, &kWire };
  const ExitCode code = RunCommand(line, console);
  return { code, out.str(), error.str() };
}

} // namespace

TEST_GROUP(CheckRoutes){};

TEST(CheckRoutes, NamesFieldsThatAreMissingOrWrong)
{
  struct Row
  {
    std::string mText;
    std::string mMistakes;
  };
  const Row kRows[] = {
    { kSound, "" },
    { "{", "it is no JSON, or too large;" },
    { R"({"Version": 1, "Routes": []})",
      "the configuration: Services is missing;" },
    { With("\"Version\": 7", "\"Version\": \"7\""),
      "the configuration: Version is a string of 1 bytes, expected a number;" },
    { With("\"Host\": \"h.example\",", ""), "route \"r-1\": Host is missing;" },
    { With("\"Name\": \"r-1\",", ""), "route number 1: Name is missing;" },
    { With("\"TimeoutMs\": 4000", "\"TimeoutMs\": true"),
      "route \"r-1\": TimeoutMs is a boolean, expected a number;" },
    { With("\"idempotent\"", "\"sometimes\""),
      "route \"r-1\": Kind \"sometimes\" is not known;" },
    { With("\"Weight\": 90", "\"Weight\": \"90\""),
      "route \"r-1\", one of Backends: Weight is a string of 2 bytes, "
      "expected a number;" },
    { With("\"Backends\"", "\"Backend\""),
      "route \"r-1\": it has neither Service nor Backends;" },
    { With("\"Name\": \"desk\", ", ""), "service number 1: Name is missing;" },
    { With("[\"first-key\"]", "[1]"),
      "workspace \"w-1\": a key is no string, or empty;" },
    { With("\"w-1\"", "\"w \""),
      "workspace \"w \": no field of a call can hold its name;" },
    { With("\"Unit\": \"requests\"", "\"Unit\": \"bytes\""),
      "workspace \"w-1\": Unit \"bytes\" is not known;" },
    { With("\"IdleTimeoutMs\": 15000", "\"IdleTimeoutMs\": null"),
      "the limits: IdleTimeoutMs is null, expected a number;" },
  };
  for (const Row& row : kRows) {
    STRCMP_EQUAL(row.mMistakes.c_str(),
                 Joined(kWire.CheckRoutingFields(row.mText)).c_str());
  }
}

// Names come from files of other people.
TEST(CheckRoutes, PrintsNoControlCharacters)
{
  struct Row
  {
    std::string mName; ///< As in JSON.
    std::string mPrinted;
  };
  const Row kRows[] = {
    { "r 1&2", "r 1&2" },
    { "\xe6\xbc\xa2\xc3\xa9", "\xe6\xbc\xa2\xc3\xa9" },
    { "r\\u001b[2J", "r?[2J" },
    { "r\\r\\nerror: x", "r??error: x" },
    { "r\\t\\u007f", "r??" },
    { "r\\u009b2J", "r??2J" },
    { "r\\u0080\\u009f\\u00a0", "r????\xc2\xa0" },
  };
  for (const Row& row : kRows) {
    const File next(
      With("\"Name\": \"r-1\"", "\"Name\": \"" + row.mName + "\""));
    const File inForce(With("\"Version\": 7", "\"Version\": 6"));
    const CommandResult changed = Run({ next.Path(), inForce.Path() });
    STRCMP_EQUAL(("  route \"r-1\": removed\n  route \"" + row.mPrinted +
                  "\": added\nsound: version 7\n")
                   .c_str(),
                 changed.mOut.c_str());
    const File wrong(With("\"Name\": \"r-1\", \"Host\": \"h.example\"",
                          "\"Name\": \"" + row.mName + "\""));
    STRCMP_CONTAINS(
      ("error: route \"" + row.mPrinted + "\": Host is missing\n").c_str(),
      Run({ wrong.Path() }).mError.c_str());
  }
}

TEST(CheckRoutes, GivesAVerdict)
{
  struct Row
  {
    std::string mNext;
    std::string mInForce; ///< Empty: none is given.
    ExitCode mCode;
    std::string mOut;
    std::string mError;
  };
  const Row kRows[] = {
    { kSound, "", ExitCode::kOk, "sound: version 7\n", "" },
    { With("\"TargetLatencyMs\": 900", "\"TargetLatencyMs\": 5000"),
      "",
      ExitCode::kOk,
      "sound: version 7\n",
      "warning: route \"r-1\": target of 5000 ms exceeds the timeout of 4000 "
      "ms\n" },
    { With("\"/a/\"", "\"a\""),
      "",
      ExitCode::kMistakes,
      "refuse: version 7\n",
      "error: route \"r-1\": never matches: its prefix \"a\" does not begin "
      "and end with a slash\n" },
    { With("\"Priority\": 1", "\"Priority\": \"1\""),
      "",
      ExitCode::kMistakes,
      "refuse: version 7\n",
      "error: route \"r-1\": Priority is a string of 1 bytes, expected a "
      "number\n" },
    { "[]",
      "",
      ExitCode::kMistakes,
      "",
      "error: the configuration: Version is missing\n"
      "error: the configuration: Routes is missing\n"
      "error: the configuration: Services is missing\n" },
    { With("\"Version\": 7", "\"Version\": 8"),
      kSound,
      ExitCode::kOk,
      "no change\nsound: version 8\n",
      "" },
    { With("first-key", "second-key").replace(12, 1, "9"),
      kSound,
      ExitCode::kOk,
      "  workspace \"w-1\": 1 keys added, 1 removed\nsound: version 9\n",
      "" },
    { kSound,
      kSound,
      ExitCode::kMistakes,
      "no change\nrefuse: version 7\n",
      "error: version 7 is not above version 7, which is in force\n" },
  };
  for (const Row& row : kRows) {
    const File next(row.mNext);
    const File inForce(row.mInForce);
    const auto result = row.mInForce.empty()
                          ? Run({ next.Path() })
                          : Run({ next.Path(), inForce.Path() });
    STRCMP_EQUAL(row.mOut.c_str(), result.mOut.c_str());
    STRCMP_EQUAL(row.mError.c_str(), result.mError.c_str());
    CHECK(row.mCode == result.mCode);
  }
}

TEST(CheckRoutes, SaysWhatCantBeRead)
{
  const File sound(kSound);
  CHECK(Run({ "/nonexistent" }).mCode == ExitCode::kUnreachable);
  CHECK(Run({ sound.Path(), "/nonexistent" }).mCode == ExitCode::kUnreachable);
  CHECK(Run({}).mCode == ExitCode::kUsage);
}
