#pragma once

#include <concepts>
#include <cstddef>
#include <string_view>
#include <tuple>

/// Lists of the fields of types with their names in traces. Encoding and
/// decoding use the same list.
namespace heatherfork::detail::trace {

/// A field of a type with its name in traces.
template<class Owner, class Type>
struct Field
{
  std::string_view mName;
  Type Owner::*mMember;
};

// The compiler of the fuzz targets lacks class template argument deduction for
// aggregates.
template<class Owner, class Type>
Field(std::string_view, Type Owner::*) -> Field<Owner, Type>;

/// The name of a type in traces, and its fields in order.
template<class... Types>
struct FieldList
{
  std::string_view mType;
  std::tuple<Types...> mFields;
};

template<class... Types>
constexpr FieldList<Types...>
Fields(std::string_view aType, Types... aFields)
{
  return { aType, std::tuple<Types...>(aFields...) };
}

/// The field list of a type; nullptr unless it is specialised.
template<class Type>
inline constexpr auto kFields = nullptr;

template<class Type>
concept HasFieldList =
  !std::same_as<decltype(kFields<Type>), const std::nullptr_t>;

/// Converts to any type; for unevaluated expressions only.
struct AnyValue
{
  template<class Type>
  operator Type() const; // NOLINT(google-explicit-constructor)
};

/// Returns the number of fields of an aggregate.
template<class Type, class... Values>
consteval std::size_t
CountFields()
{
  if constexpr (requires { Type{ Values{}..., AnyValue{} }; }) {
    return CountFields<Type, Values..., AnyValue>();
  } else {
    return sizeof...(Values);
  }
}

/// Returns true if the field list has as many entries as the type has fields.
template<HasFieldList Type>
consteval bool
ListsAllFields()
{
  using List = decltype(kFields<Type>.mFields);
  return std::tuple_size_v<List> == CountFields<Type>();
}

} // namespace heatherfork::detail::trace
