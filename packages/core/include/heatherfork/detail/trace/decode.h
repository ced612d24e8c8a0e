#pragma once

#include <limits>
#include <set>
#include <string>

#include <absl/status/status.h>

#include "heatherfork/detail/json/value.h"
#include "heatherfork/detail/text.h"
#include "heatherfork/detail/trace/bytes.h"
#include "heatherfork/detail/trace/enum_names.h"
#include "heatherfork/detail/trace/fields.h"
#include "heatherfork/detail/trace/kinds.h"
#include "heatherfork/time.h"

/// Decodes values from JSON: the inverse of Encode. Unknown and duplicate keys
/// are errors. Absent keys leave the default value.
namespace heatherfork::detail::trace {

/// Returns an error such as "event.at: expected an integer, found a boolean".
absl::Status
UnexpectedValueError(const std::string& aPath,
                     std::string_view aExpected,
                     const json::Value& aFound);

template<class Type>
absl::Status
Decode(const json::Value& aValue, const std::string& aPath, Type& aItem);

/// Returns an error unless the value is an object without duplicate keys.
absl::Status
CheckObject(const json::Value& aValue, const std::string& aPath);

/// Decodes a string, or an object with the key "hex".
absl::Status
DecodeBytes(const json::Value& aValue,
            const std::string& aPath,
            std::string& aBytes);

/// Decodes a floating-point number from its text.
absl::Status
DecodeDouble(const json::Value& aValue,
             const std::string& aPath,
             double& aNumber);

/// Decodes aMember into the field if the key is the field's name. Returns
/// whether it is.
template<class Type, class FieldType>
bool
DecodeField(const json::Member& aMember,
            const std::string& aPath,
            const FieldType& aField,
            Type& aItem,
            absl::Status& aStatus)
{
  if (aMember.mKey != aField.mName) {
    return false;
  }
  aStatus = Decode(
    aMember.mValue, Concat(aPath, ".", aField.mName), aItem.*aField.mMember);
  return true;
}

/// Returns an error if a field holds no valid enumerator. This happens if its
/// key is absent and the type has no enumerator with the default value.
template<HasFieldList Type>
absl::Status
CheckEnums(const Type& aItem, const std::string& aPath)
{
  absl::Status status;
  const auto check = [&](const auto& aField) {
    using Member = std::decay_t<decltype(aItem.*aField.mMember)>;
    const std::string path = Concat(aPath, ".", aField.mName);
    if constexpr (std::is_enum_v<Member>) {
      if (NameOf(aItem.*aField.mMember).empty()) {
        status = absl::InvalidArgumentError(path + ": expected this key");
      }
    } else if constexpr (HasFieldList<Member>) {
      status.Update(CheckEnums(aItem.*aField.mMember, path));
    }
  };
  std::apply([&](const auto&... aFields) { (check(aFields), ...); },
             kFields<Type>.mFields);
  return status;
}

template<HasFieldList Type>
absl::Status
DecodeFields(const json::Value& aValue, const std::string& aPath, Type& aItem)
{
  static_assert(ListsAllFields<Type>(), "a field is missing in its list");
  absl::Status status = CheckObject(aValue, aPath);
  if (!status.ok()) {
    return status;
  }
  for (const json::Member& member : std::get<json::Object>(aValue.mData)) {
    const bool isKnown = std::apply(
      [&](const auto&... aFields) {
        return (DecodeField(member, aPath, aFields, aItem, status) || ...);
      },
      kFields<Type>.mFields);
    if (!isKnown) {
      return absl::InvalidArgumentError(
        Concat(aPath, ": expected a known key, found ", member.mKey));
    }
    if (!status.ok()) {
      return status;
    }
  }
  return CheckEnums(aItem, aPath);
}

template<class Body, class Variant>
bool
DecodeBody(const json::Member& aMember,
           const std::string& aPath,
           Variant& aItem,
           absl::Status& aStatus)
{
  if (aMember.mKey != kFields<Body>.mType) {
    return false;
  }
  Body body;
  aStatus =
    DecodeFields(aMember.mValue, Concat(aPath, ".", aMember.mKey), body);
  aItem = std::move(body);
  return true;
}

template<class... Types>
absl::Status
DecodeAlternative(const json::Value& aValue,
                  const std::string& aPath,
                  std::variant<Types...>& aItem)
{
  const auto* object = std::get_if<json::Object>(&aValue.mData);
  if (object == nullptr || object->size() != 1) {
    return UnexpectedValueError(aPath, "an object with one key", aValue);
  }
  absl::Status status;
  const json::Member& member = object->front();
  if (!(DecodeBody<Types>(member, aPath, aItem, status) || ...)) {
    return absl::InvalidArgumentError(
      Concat(aPath, ": expected a known type, found ", member.mKey));
  }
  return status;
}

template<class Type>
absl::Status
DecodeItems(const json::Value& aValue,
            const std::string& aPath,
            std::vector<Type>& aItems)
{
  const auto* array = std::get_if<json::Array>(&aValue.mData);
  if (array == nullptr) {
    return UnexpectedValueError(aPath, "an array", aValue);
  }
  for (const json::Value& value : *array) {
    Type item{};
    const std::string path = Concat(aPath, "[", aItems.size(), "]");
    absl::Status status = Decode(value, path, item);
    if (!status.ok()) {
      return status;
    }
    aItems.push_back(std::move(item));
  }
  return absl::OkStatus();
}

template<JsonInteger Type>
absl::Status
DecodeNumber(const json::Value& aValue, const std::string& aPath, Type& aItem)
{
  const auto* number = std::get_if<std::int64_t>(&aValue.mData);
  if (number == nullptr || !std::in_range<Type>(*number)) {
    return UnexpectedValueError(aPath, "an integer in range", aValue);
  }
  aItem = static_cast<Type>(*number);
  return absl::OkStatus();
}

template<HexInteger Type>
absl::Status
DecodeNumber(const json::Value& aValue, const std::string& aPath, Type& aItem)
{
  const auto* text = std::get_if<std::string>(&aValue.mData);
  const auto number =
    text == nullptr ? std::optional<std::uint64_t>{} : NumberFromHex(*text);
  if (!number) {
    return UnexpectedValueError(
      aPath, "a string of 1 to 16 hex digits", aValue);
  }
  aItem = *number;
  return absl::OkStatus();
}

template<class Enum>
absl::Status
DecodeEnum(const json::Value& aValue, const std::string& aPath, Enum& aItem)
{
  const auto* text = std::get_if<std::string>(&aValue.mData);
  const auto item =
    text == nullptr ? std::optional<Enum>{} : FromName<Enum>(*text);
  if (!item) {
    return UnexpectedValueError(aPath, "a known name", aValue);
  }
  aItem = *item;
  return absl::OkStatus();
}

template<class Type>
absl::Status
DecodePointer(const json::Value& aValue,
              const std::string& aPath,
              std::shared_ptr<const Type>& aItem)
{
  if (std::holds_alternative<std::monostate>(aValue.mData)) {
    return absl::OkStatus();
  }
  auto item = std::make_shared<Type>();
  absl::Status status = Decode(aValue, aPath, *item);
  aItem = std::move(item);
  return status;
}

template<class Type>
absl::Status
DecodeOptional(const json::Value& aValue,
               const std::string& aPath,
               std::optional<Type>& aItem)
{
  if (std::holds_alternative<std::monostate>(aValue.mData)) {
    return absl::OkStatus();
  }
  return Decode(aValue, aPath, aItem.emplace());
}

template<class Type>
absl::Status
Decode(const json::Value& aValue, const std::string& aPath, Type& aItem)
{
  if constexpr (std::same_as<Type, bool>) {
    const auto* flag = std::get_if<bool>(&aValue.mData);
    aItem = flag != nullptr && *flag;
    return flag != nullptr ? absl::OkStatus()
                           : UnexpectedValueError(aPath, "a boolean", aValue);
  } else if constexpr (JsonInteger<Type> || HexInteger<Type>) {
    return DecodeNumber(aValue, aPath, aItem);
  } else if constexpr (std::same_as<Type, double>) {
    return DecodeDouble(aValue, aPath, aItem);
  } else if constexpr (std::is_enum_v<Type>) {
    return DecodeEnum(aValue, aPath, aItem);
  } else if constexpr (std::same_as<Type, std::string>) {
    return DecodeBytes(aValue, aPath, aItem);
  } else if constexpr (std::same_as<Type, Duration>) {
    Duration::rep count = 0;
    absl::Status status = DecodeNumber(aValue, aPath, count);
    aItem = Duration(count);
    return status;
  } else if constexpr (std::same_as<Type, Instant>) {
    Duration sinceEpoch{};
    absl::Status status = Decode(aValue, aPath, sinceEpoch);
    aItem = Instant(sinceEpoch);
    return status;
  } else if constexpr (kIsName<Type>) {
    return DecodeBytes(aValue, aPath, aItem.mValue);
  } else if constexpr (kIsVector<Type>) {
    return DecodeItems(aValue, aPath, aItem);
  } else if constexpr (kIsVariant<Type>) {
    return DecodeAlternative(aValue, aPath, aItem);
  } else if constexpr (kIsPointer<Type>) {
    return DecodePointer(aValue, aPath, aItem);
  } else if constexpr (kIsOptional<Type>) {
    return DecodeOptional(aValue, aPath, aItem);
  } else {
    return DecodeFields(aValue, aPath, aItem);
  }
}

} // namespace heatherfork::detail::trace
