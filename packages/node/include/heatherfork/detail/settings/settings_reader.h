#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <toml++/toml.h>

#include "heatherfork/settings.h"

/// Reads typed values from TOML tables and collects the mistakes.
namespace heatherfork::detail {

/// Inclusive range of a number.
struct Range
{
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
};

/// Whether a key is mandatory.
enum class Presence
{
  kRequired,
  kOptional,
};

/// Parses a settings file. On a syntax error, adds a mistake and returns
/// nullopt.
std::optional<toml::table>
ParseSettings(const std::string& aToml,
              std::vector<SettingsMistake>& aMistakes);

/// Reads one table of a settings file. A key that is absent keeps the default
/// value unless it is required; Finish() reports unknown keys.
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

  /// Reads an integer or a floating-point number.
  void Read(const char* aKey, double& aValue, Range aRange);

  /// Reads seconds as an integer or a floating-point number.
  void ReadSeconds(const char* aKey, Duration& aValue, Range aRange);
  void ReadOneOf(const char* aKey,
                 std::string& aValue,
                 const std::vector<std::string>& aAllowed);

  /// Returns the table under a key, or an empty one. Returns a reference
  /// because a copy of a table loses its line numbers.
  const toml::table& Table(const char* aKey);

  /// Reports each key that was not read as a mistake.
  void Finish();

private:
  const toml::node* Get(const char* aKey);
  bool ReadNumber(const char* aKey, std::int64_t& aValue, Range aRange);
  void Report(const char* aKey, const toml::node* aNode, std::string aExpected);

  const toml::table& mTable;
  std::string mPrefix;
  std::vector<SettingsMistake>& mMistakes;
  std::set<std::string> mKnownKeys;
};

} // namespace heatherfork::detail
