#include "heatherfork/detail/json/json_reader.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/TextIterator.h>
#include <Poco/UTF8Encoding.h>

namespace heatherfork::detail {

namespace {

constexpr int kMaxDepth = 32;
constexpr int kHexDigits = 16;
constexpr int kHexBase = 16;

bool
IsUtf8(const std::string& aText)
{
  const Poco::UTF8Encoding encoding;
  Poco::TextIterator it(aText, encoding);
  const Poco::TextIterator end(aText);
  for (; it != end; ++it) {
    if (*it < 0) {
      return false;
    }
  }
  return true;
}

// The library's parser is recursive: the depth is checked before parsing, so
// that nested input cannot overflow the stack.
bool
IsTooDeep(const std::string& aText)
{
  int depth = 0;
  bool inString = false;
  bool escaped = false;
  for (const char c : aText) {
    if (inString) {
      inString = escaped || c != '"';
      escaped = !escaped && c == '\\';
      continue;
    }
    inString = c == '"';
    depth += c == '{' || c == '[' ? 1 : 0;
    depth -= c == '}' || c == ']' ? 1 : 0;
    if (depth > kMaxDepth) {
      return true;
    }
  }
  return false;
}

const Poco::Dynamic::Var*
FindMember(const Poco::JSON::Object& aObject, const std::string& aKey)
{
  const auto it =
    std::find_if(aObject.begin(), aObject.end(), [&](const auto& aItem) {
      return aItem.first == aKey;
    });
  return it == aObject.end() ? nullptr : &it->second;
}

} // namespace

absl::StatusOr<Poco::JSON::Object::Ptr>
ParseJsonObject(const std::string& aText)
{
  if (IsTooDeep(aText)) {
    return absl::InvalidArgumentError(
      "expected JSON of at most 32 levels, found more");
  }
  if (!IsUtf8(aText)) {
    return absl::InvalidArgumentError("expected UTF-8");
  }
  try {
    Poco::JSON::Parser parser;
    const Poco::Dynamic::Var value = parser.parse(aText);
    if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
      return absl::InvalidArgumentError("expected a JSON object");
    }
    return value.extract<Poco::JSON::Object::Ptr>();
  } catch (const std::exception&) {
    return absl::InvalidArgumentError("expected a JSON object");
  }
}

std::optional<std::string>
GetText(const Poco::JSON::Object& aObject, const std::string& aKey)
{
  const Poco::Dynamic::Var* value = FindMember(aObject, aKey);
  if (value == nullptr || !value->isString()) {
    return std::nullopt;
  }
  return value->extract<std::string>();
}

std::optional<std::int64_t>
GetNumber(const Poco::JSON::Object& aObject, const std::string& aKey)
{
  const Poco::Dynamic::Var* value = FindMember(aObject, aKey);
  if (value == nullptr || !value->isInteger() || value->isBoolean()) {
    return std::nullopt;
  }
  try {
    return value->convert<Poco::Int64>();
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

std::optional<bool>
GetBool(const Poco::JSON::Object& aObject, const std::string& aKey)
{
  const Poco::Dynamic::Var* value = FindMember(aObject, aKey);
  if (value == nullptr || !value->isBoolean()) {
    return std::nullopt;
  }
  return value->extract<bool>();
}

std::optional<std::string>
GetJson(const Poco::JSON::Object& aObject, const std::string& aKey)
{
  const Poco::Dynamic::Var* value = FindMember(aObject, aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  std::ostringstream out;
  Poco::JSON::Stringifier::condense(*value, out);
  return out.str();
}

std::string
ToText(const Poco::JSON::Object& aObject)
{
  std::ostringstream out;
  Poco::JSON::Stringifier::condense(aObject, out);
  return out.str();
}

std::string
ToHex(std::uint64_t aNumber)
{
  std::string text(kHexDigits, '0');
  std::uint64_t rest = aNumber;
  for (auto it = text.rbegin(); it != text.rend(); ++it) {
    *it = "0123456789abcdef"[rest % kHexBase];
    rest /= kHexBase;
  }
  return text;
}

std::optional<std::uint64_t>
FromHex(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, number, kHexBase);
  if (aText.empty() || ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace heatherfork::detail
