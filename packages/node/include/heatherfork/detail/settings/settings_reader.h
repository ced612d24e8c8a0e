#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <toml++/toml.h>

#include "heatherfork/settings.h"

/// Reads typed values out of a TOML table and gathers the mistakes.
namespace heatherfork::detail {

/// Inclusive limits of a number.
struct Range
{
  std::int64_t mLowest = 0;
  std::int64_t mHighest = 0;
};

/// Whether a key must be there.
enum class Presence
{
  kRequired,
  kOptional,
};

/// A settings file; nothing when it is no TOML, which is a mistake then.
std::optional<toml::table>
ParseSettings(const std::string& aToml,
              std::vector<SettingsMistake>& aMistakes);

/// Reads one table of a settings file. Keys that were never asked for are
/// mistakes of Finish.
class SettingsReader
{
public:
  SettingsReader(const toml::table& aTable,
                 std::string aPrefix,
                 std::vector<SettingsMistake>& aMistakes);

  void Read(const char* aKey, std::string& aValue, Presence aPresence);
  void Read(const char* aKey, Address& aValue, Presence aPresence);
  void Read(const char* aKey, std::vector<Address>& aValue);
  void Read(const char* aKey, int& aValue, Range aRange);
  void Read(const char* aKey, std::size_t& aValue, Range aRange);
  void ReadMilliseconds(const char* aKey, Duration& aValue, Range aRange);

  /// A number with or without a fraction.
  void Read(const char* aKey, double& aValue, Range aRange);

  /// Seconds, with or without a fraction.
  void ReadSeconds(const char* aKey, Duration& aValue, Range aRange);
  void ReadOneOf(const char* aKey,
                 std::string& aValue,
                 const std::vector<std::string>& aAllowed);

  /// The table under a key; an empty one when there is none. Not a copy, which
  /// would lose its line numbers.
  const toml::table& Table(const char* aKey);

  /// Reports the keys that were not asked for.
  void Finish();

private:
  const toml::node* Get(const char* aKey);
  bool ReadNumber(const char* aKey, std::int64_t& aValue, Range aRange);
  void Report(const char* aKey, const toml::node* aNode, std::string aExpected);

  const toml::table& mTable;
  std::string mPrefix;
  std::vector<SettingsMistake>& mMistakes;
  std::set<std::string> mKnown;
};

} // namespace heatherfork::detail
