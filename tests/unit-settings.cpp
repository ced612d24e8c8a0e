#include "heatherfork/settings.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

const char* const kValidSettings = R"([node]
name = "n"
zone = "z"
caller_address = "h:1"
peer_address = "h:2"
[platform]
configuration_service = "h:3"
vm_list = "h:4"
[keys]
peer = "0123456789abcdef"
admin = "a"
)";

/// Text appended to valid settings, and the mistakes expected.
struct Row
{
  const char* mAdded;
  std::vector<std::string> mExpectedMistakes;
};

std::vector<std::string>
MistakesOf(const std::string& aToml)
{
  std::vector<std::string> mistakes;
  for (const SettingsMistake& mistake : ReadSettings(aToml).mMistakes) {
    mistakes.push_back(ToString(mistake, "f.toml"));
  }
  return mistakes;
}

void
CheckMistakes(const std::vector<std::string>& aExpected,
              const std::string& aToml)
{
  const std::vector<std::string> mistakes = MistakesOf(aToml);
  CHECK_EQUAL(aExpected.size(), mistakes.size());
  for (std::size_t n = 0; n < aExpected.size(); ++n) {
    STRCMP_EQUAL(aExpected[n].c_str(), mistakes[n].c_str());
  }
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, ReportsEachMistakeWithItsLine)
{
  const std::vector<Row> rows{
    { "", {} },
    { "[policy]\nattempts = 2\n", {} },
    { "[policy]\nattempts = 0\n",
      { "f.toml:13: policy.attempts: expected a whole number from 1 to 10" } },
    { "[policy]\nattempts = \"2\"\nretries = 1\n",
      { "f.toml:13: policy.attempts: expected a whole number from 1 to 10",
        "f.toml:14: policy.retries: expected no such key" } },
    { "[log]\nlevel = \"loud\"\n",
      { "f.toml:13: log.level: expected one of debug, info, warning, error" } },
    { "[membership]\nprobe_period_ms = 1\n",
      { "f.toml:13: membership.probe_period_ms: expected a whole number from "
        "50 to 60000" } },
    { "[configuration]\nask_peers_time_ms = -1\n",
      { "f.toml:13: configuration.ask_peers_time_ms: expected a whole number "
        "from 0 to 300000" } },
    { "[scheduling]\nshard_servers = 0\n",
      { "f.toml:13: scheduling.shard_servers: expected a whole number from 1 "
        "to 1000" } },
    { "[other]\n", { "f.toml:12: other: expected no such key" } },
  };
  for (const Row& row : rows) {
    CheckMistakes(row.mExpectedMistakes,
                  std::string(kValidSettings) + row.mAdded);
  }
}

TEST(Settings, ReportsAllMissingKeys)
{
  const std::string service = "platform.configuration_service";
  CheckMistakes(
    { "f.toml: node.name: expected a string, the key is missing",
      "f.toml: node.zone: expected a string, the key is missing",
      "f.toml: node.caller_address: expected a string, the key is missing",
      "f.toml: node.peer_address: expected a string, the key is missing",
      "f.toml: " + service + ": expected a string, the key is missing",
      "f.toml: platform.vm_list: expected a string, the key is missing",
      "f.toml: keys.peer: expected a string, the key is missing",
      "f.toml: keys.admin: expected a string, the key is missing" },
    "");
}

TEST(Settings, RefusesAddressWithoutHostOrPort)
{
  const std::vector<const char*> bad{ "h", ":1", "h:", "h:x", "h:65536" };
  for (const char* address : bad) {
    std::string toml = kValidSettings;
    toml.replace(toml.find("h:1"), 3, address);
    CheckMistakes({ "f.toml:4: node.caller_address: expected an address "
                    "\"host:port\"" },
                  toml);
  }
}

TEST(Settings, ListenAddressesDefaultToAdvertisedOnes)
{
  const Settings settings = ReadSettings(kValidSettings).mSettings;
  STRCMP_EQUAL("h:1", settings.mCallerListen.mValue.c_str());
  STRCMP_EQUAL("h:2", settings.mPeerListen.mValue.c_str());
}
