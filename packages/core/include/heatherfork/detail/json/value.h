#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// JSON values that preserve key order and duplicate keys.
namespace heatherfork::detail::json {

struct Member;
struct Value;

using Array = std::vector<Value>;
using Object = std::vector<Member>;

/// A JSON value, null by default. Numbers with a fraction or an exponent, or
/// outside the range of std::int64_t, are stored as double.
struct Value
{
  std::variant<std::monostate,
               bool,
               std::int64_t,
               double,
               std::string,
               Array,
               Object>
    mData;
};

/// A key and its value in an object.
struct Member
{
  std::string mKey;
  Value mValue;
};

/// Describes the type without the content: "null", "a boolean", "an integer",
/// "another number", "a string of 3 bytes", "an array" or "an object".
std::string
Describe(const Value& aValue);

} // namespace heatherfork::detail::json
