#pragma once

#include <string>

#include "heatherfork/detail/json/value.h"
#include "heatherfork/detail/trace/bytes.h"
#include "heatherfork/detail/trace/enum_names.h"
#include "heatherfork/detail/trace/fields.h"
#include "heatherfork/detail/trace/kinds.h"
#include "heatherfork/time.h"

/// Encodes values as JSON: unsigned 64-bit integers as hex, floating-point
/// numbers as text, times in microseconds, and strings that are not printable
/// ASCII as {"hex": DIGITS}. Omits fields with default values.
namespace heatherfork::detail::trace {

template<class Type>
json::Value
Encode(const Type& aItem);

template<HasFieldList Type>
json::Value
EncodeFields(const Type& aItem)
{
  static_assert(ListsAllFields<Type>(), "a field is missing in its list");
  const Type defaults{};
  json::Object object;
  const auto put = [&](const auto& aField) {
    if (aItem.*aField.mMember != defaults.*aField.mMember) {
      object.push_back(json::Member{ std::string(aField.mName),
                                     Encode(aItem.*aField.mMember) });
    }
  };
  std::apply([&](const auto&... aFields) { (put(aFields), ...); },
             kFields<Type>.mFields);
  return json::Value{ std::move(object) };
}

template<class... Types>
json::Value
EncodeAlternative(const std::variant<Types...>& aItem)
{
  return std::visit(
    [](const auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      return json::Value{ json::Object{ json::Member{
        std::string(kFields<Body>.mType), EncodeFields(aBody) } } };
    },
    aItem);
}

inline json::Value
EncodeBytes(const std::string& aBytes)
{
  if (IsPrintableAscii(aBytes)) {
    return json::Value{ aBytes };
  }
  return json::Value{ json::Object{
    json::Member{ "hex", json::Value{ ToHex(aBytes) } } } };
}

template<class Type>
json::Value
EncodeItems(const std::vector<Type>& aItems)
{
  json::Array array;
  for (const Type& item : aItems) {
    array.push_back(Encode(item));
  }
  return json::Value{ std::move(array) };
}

template<class Type>
json::Value
Encode(const Type& aItem)
{
  if constexpr (std::same_as<Type, bool>) {
    return json::Value{ aItem };
  } else if constexpr (JsonInteger<Type>) {
    return json::Value{ static_cast<std::int64_t>(aItem) };
  } else if constexpr (HexInteger<Type>) {
    return json::Value{ NumberToHex(aItem) };
  } else if constexpr (std::same_as<Type, double>) {
    return json::Value{ DoubleToText(aItem) };
  } else if constexpr (std::is_enum_v<Type>) {
    return json::Value{ std::string(NameOf(aItem)) };
  } else if constexpr (std::same_as<Type, std::string>) {
    return EncodeBytes(aItem);
  } else if constexpr (std::same_as<Type, Duration>) {
    return json::Value{ std::int64_t{ aItem.count() } };
  } else if constexpr (std::same_as<Type, Instant>) {
    return Encode(aItem.time_since_epoch());
  } else if constexpr (kIsName<Type>) {
    return EncodeBytes(aItem.mValue);
  } else if constexpr (kIsVector<Type>) {
    return EncodeItems(aItem);
  } else if constexpr (kIsVariant<Type>) {
    return EncodeAlternative(aItem);
  } else if constexpr (kIsPointer<Type> || kIsOptional<Type>) {
    return aItem ? Encode(*aItem) : json::Value{};
  } else {
    return EncodeFields(aItem);
  }
}

} // namespace heatherfork::detail::trace
