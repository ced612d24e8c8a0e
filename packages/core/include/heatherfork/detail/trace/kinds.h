#pragma once

#include <concepts>
#include <memory>
#include <optional>
#include <type_traits>
#include <variant>
#include <vector>

#include "heatherfork/ids.h"

/// Type traits that select the JSON form of a type.
namespace heatherfork::detail::trace {

template<class Type>
inline constexpr bool kIsName = false;
template<class Tag>
inline constexpr bool kIsName<Name<Tag>> = true;

template<class Type>
inline constexpr bool kIsVector = false;
template<class Item>
inline constexpr bool kIsVector<std::vector<Item>> = true;

template<class Type>
inline constexpr bool kIsVariant = false;
template<class... Types>
inline constexpr bool kIsVariant<std::variant<Types...>> = true;

template<class Type>
inline constexpr bool kIsPointer = false;
template<class Item>
inline constexpr bool kIsPointer<std::shared_ptr<const Item>> = true;

template<class Type>
inline constexpr bool kIsOptional = false;
template<class Item>
inline constexpr bool kIsOptional<std::optional<Item>> = true;

/// Integers that fit into a signed 64-bit JSON integer.
template<class Type>
concept JsonInteger =
  std::integral<Type> && !std::same_as<Type, bool> &&
  (std::is_signed_v<Type> || sizeof(Type) < sizeof(std::uint64_t));

/// Integers that are written as hex text.
template<class Type>
concept HexInteger =
  std::unsigned_integral<Type> && !std::same_as<Type, bool> &&
  sizeof(Type) == sizeof(std::uint64_t);

} // namespace heatherfork::detail::trace
