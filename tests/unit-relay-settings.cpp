#include <map>

#include "heatherfork/relay_settings_file.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

const std::string kSettings = R"(
[node]
name = "n"
zone = "a"
caller_address = "127.0.0.1:1"
peer_address = "127.0.0.1:2"
[keys]
peer = "a key between the nodes"
[relay]
store = "127.0.0.1:3"
)";

using Environment = std::map<std::string, std::string>;

struct Row
{
  const char* mName;
  std::string mMore; ///< Appended to the file, in table "relay".
  Environment mEnvironment;
  Duration mMaxKeyDelay{};
  std::int64_t mQuotaSlack = 0;
  std::string mMistake{}; ///< The key of the only one; empty: none.
};

const Row kRows[] = {
  { "no variables", "", {} },
  { "empty variables", "", { { "HEATHERFORK_QUOTA_SLACK", "" } } },
  { "a quota", "", { { "HEATHERFORK_QUOTA_SLACK", "190000" } }, {}, 190000 },
  { "the file goes first",
    "quota_slack = 5",
    { { "HEATHERFORK_QUOTA_SLACK", "190000" } },
    {},
    5 },
  { "strict withdrawal",
    "",
    { { "HEATHERFORK_KEY_WITHDRAWAL_STRICT", "true" },
      { "HEATHERFORK_KEY_WITHDRAWAL_BOUND_MS", "5000" } },
    Milliseconds(5000) },
  { "withdrawal that isn't strict",
    "",
    { { "HEATHERFORK_KEY_WITHDRAWAL_STRICT", "false" },
      { "HEATHERFORK_KEY_WITHDRAWAL_BOUND_MS", "5000" } } },
  { "a value out of range",
    "",
    { { "HEATHERFORK_QUOTA_WINDOW_S", "-1" } },
    {},
    0,
    "relay.quota_window_s" },
  { "no value of TOML",
    "",
    { { "HEATHERFORK_QUOTA_WINDOW_S", "{" } },
    {},
    0,
    "HEATHERFORK_QUOTA_WINDOW_S" },
};

} // namespace

TEST_GROUP(RelaySettings){};

TEST(RelaySettings, EnvironmentSetsKeysThatTheFileLacks)
{
  for (const Row& row : kRows) {
    const RelaySettingsResult read =
      ReadRelaySettings(kSettings + row.mMore, [&](const char* aName) {
        const auto it = row.mEnvironment.find(aName);
        return it == row.mEnvironment.end() ? std::string{} : it->second;
      });
    CHECK_EQUAL_TEXT(
      row.mMistake.empty() ? 0U : 1U, read.mMistakes.size(), row.mName);
    if (!row.mMistake.empty()) {
      STRCMP_EQUAL_TEXT(
        row.mMistake.c_str(), read.mMistakes.front().mKey.c_str(), row.mName);
      continue;
    }
    const RelaySettings& settings = read.mSettings.mRelay;
    CHECK_TEXT(row.mMaxKeyDelay == settings.mMaxKeyDelay, row.mName);
    CHECK_TEXT(row.mQuotaSlack == settings.mQuotaSlack, row.mName);
  }
}
