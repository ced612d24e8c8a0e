#include "heatherfork/detail/configuration/object_reader.h"
#include "heatherfork/detail/text.h"

#include <algorithm>
#include <set>
#include <utility>

#include <absl/strings/ascii.h>

namespace heatherfork::detail {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxQuotedBytes = 64;
constexpr std::string_view kNameExpected =
  "a name of 1 to 64 letters, digits, '.', '_' or '-' that starts with a "
  "letter or digit";

bool
IsNameByte(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return absl::ascii_isalnum(byte) || aByte == '.' || aByte == '_' ||
         aByte == '-';
}

/// Joins texts with ", ".
std::string
Joined(const std::vector<std::string>& aTexts)
{
  std::string joined;
  for (const std::string& text : aTexts) {
    joined += joined.empty() ? text : ", " + text;
  }
  return joined;
}

} // namespace

bool
IsName(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxNameBytes) {
    return false;
  }
  return absl::ascii_isalnum(static_cast<unsigned char>(aText.front())) &&
         std::all_of(aText.begin(), aText.end(), IsNameByte);
}

std::string
Quoted(std::string_view aText)
{
  std::string text(aText.substr(0, kMaxQuotedBytes));
  for (char& byte : text) {
    if (!absl::ascii_isprint(static_cast<unsigned char>(byte))) {
      byte = '?';
    }
  }
  return Concat("\"", text, aText.size() > kMaxQuotedBytes ? "...\"" : "\"");
}

ObjectReader::ObjectReader(const json::Value& aValue,
                           DocumentLocation aLocation,
                           MistakeList& aMistakes)
  : mObject(std::get_if<json::Object>(&aValue.mData))
  , mLocation(std::move(aLocation))
  , mMistakes(aMistakes)
{
  if (mObject == nullptr) {
    mMistakes.Add(
      MistakeCode::kWrongType, mLocation, "an object", json::Describe(aValue));
    return;
  }
  for (const json::Member& member : *mObject) {
    mValues.try_emplace(member.mKey, &member.mValue);
  }
}

bool
ObjectReader::Has(std::string_view aKey) const
{
  return Find(aKey) != nullptr;
}

std::vector<std::string>
ObjectReader::Keys() const
{
  std::vector<std::string> keys;
  for (const auto& [key, value] : mValues) {
    keys.emplace_back(key);
  }
  return keys;
}

bool
ObjectReader::Boolean(std::string_view aKey)
{
  const json::Value* value = Required(aKey);
  if (value == nullptr) {
    return false;
  }
  if (const bool* flag = std::get_if<bool>(&value->mData)) {
    return *flag;
  }
  AddWrongType(aKey, "a boolean", *value);
  return false;
}

std::int64_t
ObjectReader::Integer(std::string_view aKey, IntegerRange aRange)
{
  const json::Value* value = Required(aKey);
  if (value == nullptr) {
    return 0;
  }
  const std::string expected =
    Concat("an integer from ", aRange.mMinimum, " to ", aRange.mMaximum);
  const auto* number = std::get_if<std::int64_t>(&value->mData);
  if (number == nullptr) {
    AddWrongType(aKey, expected, *value);
    return 0;
  }
  if (*number < aRange.mMinimum || *number > aRange.mMaximum) {
    mMistakes.Add(
      MistakeCode::kOutOfRange, mLocation.Key(aKey), expected, Concat(*number));
    return 0;
  }
  return *number;
}

std::string
ObjectReader::Name(std::string_view aKey)
{
  const std::string* text = Text(aKey, kNameExpected);
  if (text == nullptr) {
    return "";
  }
  if (!IsName(*text)) {
    mMistakes.Add(MistakeCode::kBadName,
                  mLocation.Key(aKey),
                  std::string(kNameExpected),
                  Quoted(*text));
    return "";
  }
  return *text;
}

const std::string*
ObjectReader::Text(std::string_view aKey, std::string_view aExpected)
{
  const json::Value* value = Required(aKey);
  if (value == nullptr) {
    return nullptr;
  }
  const auto* text = std::get_if<std::string>(&value->mData);
  if (text == nullptr) {
    AddWrongType(aKey, std::string(aExpected), *value);
  }
  return text;
}

const json::Array&
ObjectReader::Items(std::string_view aKey, std::size_t aMaxItems)
{
  static const json::Array kNone;
  const json::Value* value = Required(aKey);
  if (value == nullptr) {
    return kNone;
  }
  const auto* items = std::get_if<json::Array>(&value->mData);
  if (items == nullptr) {
    AddWrongType(aKey, "an array", *value);
    return kNone;
  }
  if (items->size() > aMaxItems) {
    mMistakes.Add(MistakeCode::kOutOfRange,
                  mLocation.Key(aKey),
                  Concat("at most ", aMaxItems, " items"),
                  Concat(items->size(), " items"));
    return kNone;
  }
  return *items;
}

const json::Value*
ObjectReader::Required(std::string_view aKey)
{
  mExpectedKeys.emplace_back(aKey);
  const json::Value* value = Find(aKey);
  if (value == nullptr && mObject != nullptr) {
    mMistakes.Add(MistakeCode::kMissingKey,
                  mLocation,
                  Concat("the key ", Quoted(aKey)),
                  "no such key");
  }
  return value;
}

void
ObjectReader::Finish()
{
  if (mObject == nullptr) {
    return;
  }
  const std::set<std::string_view> expectedKeys(mExpectedKeys.begin(),
                                                mExpectedKeys.end());
  for (const json::Member& member : *mObject) {
    const bool isRepeat = mValues.at(member.mKey) != &member.mValue;
    if (isRepeat) {
      mMistakes.Add(MistakeCode::kDuplicateKey,
                    mLocation,
                    "each key once",
                    Concat("another ", Quoted(member.mKey)));
    } else if (!expectedKeys.contains(member.mKey)) {
      mMistakes.Add(MistakeCode::kUnknownKey,
                    mLocation,
                    Concat("only the keys ", Joined(mExpectedKeys)),
                    Quoted(member.mKey));
    }
  }
}

const json::Value*
ObjectReader::Find(std::string_view aKey) const
{
  const auto it = mValues.find(aKey);
  return it == mValues.end() ? nullptr : it->second;
}

void
ObjectReader::AddWrongType(std::string_view aKey,
                           std::string aExpected,
                           const json::Value& aFound)
{
  mMistakes.Add(MistakeCode::kWrongType,
                mLocation.Key(aKey),
                std::move(aExpected),
                json::Describe(aFound));
}

} // namespace heatherfork::detail
