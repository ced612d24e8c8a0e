#include "heatherfork/detail/settings/settings_reader.h"

namespace heatherfork::detail {

namespace {

constexpr int kMaxPort = 65535;

int
LineOf(const toml::node& aNode)
{
  return static_cast<int>(aNode.source().begin.line);
}

bool
IsAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == aText.size()) {
    return false;
  }
  const std::string port = aText.substr(colon + 1);
  constexpr std::size_t kMaxPortDigits = 5;
  const bool hasOnlyDigits =
    port.find_first_not_of("0123456789") == std::string::npos;
  return hasOnlyDigits && port.size() <= kMaxPortDigits &&
         std::stoi(port) <= kMaxPort;
}

} // namespace

std::optional<toml::table>
ParseSettings(const std::string& aToml, std::vector<SettingsMistake>& aMistakes)
{
  try {
    return toml::parse(aToml);
  } catch (const toml::parse_error& ec) {
    const int line = static_cast<int>(ec.source().begin.line);
    aMistakes.push_back(SettingsMistake{
      line, "", "TOML, but " + std::string(ec.description()) });
    return std::nullopt;
  }
}

SettingsReader::SettingsReader(const toml::table& aTable,
                               std::string aPrefix,
                               std::vector<SettingsMistake>& aMistakes)
  : mTable(aTable)
  , mPrefix(std::move(aPrefix))
  , mMistakes(aMistakes)
{
}

void
SettingsReader::Read(const char* aKey, std::string& aValue, Presence aPresence)
{
  const toml::node* node = Get(aKey);
  if (node == nullptr) {
    if (aPresence == Presence::kRequired) {
      Report(aKey, nullptr, "a string, the key is missing");
    }
    return;
  }
  const auto value = node->value_exact<std::string>();
  if (!value || value->empty()) {
    Report(aKey, node, "a string that is not empty");
    return;
  }
  aValue = *value;
}

void
SettingsReader::Read(const char* aKey, Address& aValue, Presence aPresence)
{
  const std::size_t before = mMistakes.size();
  std::string text;
  Read(aKey, text, aPresence);
  if (mMistakes.size() != before || text.empty()) {
    return;
  }
  if (!IsAddress(text)) {
    Report(aKey, Get(aKey), "an address \"host:port\"");
    return;
  }
  aValue = Address{ text };
}

void
SettingsReader::Read(const char* aKey, std::vector<Address>& aValue)
{
  const toml::node* node = Get(aKey);
  if (node == nullptr) {
    return;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Report(aKey, node, "an array of addresses \"host:port\"");
    return;
  }
  for (const toml::node& item : *array) {
    const auto text = item.value_exact<std::string>();
    if (!text || !IsAddress(*text)) {
      Report(aKey, &item, "an address \"host:port\"");
      continue;
    }
    aValue.push_back(Address{ *text });
  }
}

void
SettingsReader::Read(const char* aKey, int& aValue, Range aRange)
{
  std::int64_t number = 0;
  if (ReadNumber(aKey, number, aRange)) {
    aValue = static_cast<int>(number);
  }
}

void
SettingsReader::Read(const char* aKey, std::size_t& aValue, Range aRange)
{
  std::int64_t number = 0;
  if (ReadNumber(aKey, number, aRange)) {
    aValue = static_cast<std::size_t>(number);
  }
}

void
SettingsReader::ReadMilliseconds(const char* aKey,
                                 Duration& aValue,
                                 Range aRange)
{
  std::int64_t number = 0;
  if (ReadNumber(aKey, number, aRange)) {
    aValue = Milliseconds(number);
  }
}

void
SettingsReader::Read(const char* aKey, double& aValue, Range aRange)
{
  const toml::node* node = Get(aKey);
  if (node == nullptr) {
    return;
  }
  const auto value = node->value<double>();
  const auto lowest = static_cast<double>(aRange.mMin);
  const auto highest = static_cast<double>(aRange.mMax);
  if (!node->is_number() || !value || !(*value >= lowest) ||
      !(*value <= highest)) {
    Report(aKey,
           node,
           "a number from " + std::to_string(aRange.mMin) + " to " +
             std::to_string(aRange.mMax));
    return;
  }
  aValue = *value;
}

void
SettingsReader::ReadSeconds(const char* aKey, Duration& aValue, Range aRange)
{
  constexpr double kMicrosecondsPerSecond = 1e6;
  double seconds = static_cast<double>(aValue.count()) / kMicrosecondsPerSecond;
  Read(aKey, seconds, aRange);
  aValue =
    Duration(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond));
}

void
SettingsReader::ReadOneOf(const char* aKey,
                          std::string& aValue,
                          const std::vector<std::string>& aAllowed)
{
  std::string text;
  Read(aKey, text, Presence::kOptional);
  if (text.empty()) {
    return;
  }
  std::string names;
  for (const std::string& allowed : aAllowed) {
    if (text == allowed) {
      aValue = text;
      return;
    }
    names += (names.empty() ? "" : ", ") + allowed;
  }
  Report(aKey, Get(aKey), "one of " + names);
}

const toml::table&
SettingsReader::Table(const char* aKey)
{
  static const toml::table kEmptyTable;
  const toml::node* node = Get(aKey);
  if (node == nullptr) {
    return kEmptyTable;
  }
  if (!node->is_table()) {
    Report(aKey, node, "a table");
    return kEmptyTable;
  }
  return *node->as_table();
}

void
SettingsReader::Finish()
{
  for (const auto& [key, node] : mTable) {
    const std::string name(key.str());
    if (!mKnownKeys.contains(name)) {
      Report(name.c_str(), &node, "no such key");
    }
  }
}

const toml::node*
SettingsReader::Get(const char* aKey)
{
  mKnownKeys.insert(aKey);
  return mTable.get(aKey);
}

bool
SettingsReader::ReadNumber(const char* aKey, std::int64_t& aValue, Range aRange)
{
  const toml::node* node = Get(aKey);
  if (node == nullptr) {
    return false;
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value || *value < aRange.mMin || *value > aRange.mMax) {
    Report(aKey,
           node,
           "a whole number from " + std::to_string(aRange.mMin) + " to " +
             std::to_string(aRange.mMax));
    return false;
  }
  aValue = *value;
  return true;
}

void
SettingsReader::Report(const char* aKey,
                       const toml::node* aNode,
                       std::string aExpected)
{
  mMistakes.push_back(SettingsMistake{ aNode == nullptr ? 0 : LineOf(*aNode),
                                       mPrefix + aKey,
                                       std::move(aExpected) });
}

} // namespace heatherfork::detail
