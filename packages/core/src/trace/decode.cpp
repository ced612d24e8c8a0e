#include "heatherfork/detail/trace/decode.h"

namespace heatherfork::detail::trace {

absl::Status
UnexpectedValueError(const std::string& aPath,
                     std::string_view aExpected,
                     const json::Value& aFound)
{
  return absl::InvalidArgumentError(Concat(
    aPath, ": expected ", aExpected, ", found ", json::Describe(aFound)));
}

absl::Status
CheckObject(const json::Value& aValue, const std::string& aPath)
{
  const auto* object = std::get_if<json::Object>(&aValue.mData);
  if (object == nullptr) {
    return UnexpectedValueError(aPath, "an object", aValue);
  }
  std::set<std::string_view> keys;
  for (const json::Member& member : *object) {
    if (!keys.insert(member.mKey).second) {
      return absl::InvalidArgumentError(
        Concat(aPath, ": expected each key once, found ", member.mKey));
    }
  }
  return absl::OkStatus();
}

absl::Status
DecodeBytes(const json::Value& aValue,
            const std::string& aPath,
            std::string& aBytes)
{
  if (const auto* text = std::get_if<std::string>(&aValue.mData)) {
    aBytes = *text;
    return absl::OkStatus();
  }
  const auto* object = std::get_if<json::Object>(&aValue.mData);
  if (object == nullptr || object->size() != 1 ||
      object->front().mKey != "hex") {
    return UnexpectedValueError(aPath, "a string or bytes in hex", aValue);
  }
  const json::Value& hex = object->front().mValue;
  const auto* digits = std::get_if<std::string>(&hex.mData);
  const auto bytes =
    digits == nullptr ? std::optional<std::string>{} : FromHex(*digits);
  if (!bytes) {
    return UnexpectedValueError(aPath, "pairs of hex digits", hex);
  }
  aBytes = *bytes;
  return absl::OkStatus();
}

absl::Status
DecodeDouble(const json::Value& aValue,
             const std::string& aPath,
             double& aNumber)
{
  const auto* text = std::get_if<std::string>(&aValue.mData);
  const auto number =
    text == nullptr ? std::optional<double>{} : DoubleFromText(*text);
  if (!number) {
    return UnexpectedValueError(aPath, "a string with a number", aValue);
  }
  aNumber = *number;
  return absl::OkStatus();
}

} // namespace heatherfork::detail::trace
