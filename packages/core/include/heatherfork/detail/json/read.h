#pragma once

#include <cstddef>
#include <string_view>
#include <variant>

#include "heatherfork/detail/json/value.h"

/// JSON parser with size and depth limits.
namespace heatherfork::detail::json {

/// Limits of a document.
struct ReadLimits
{
  std::size_t mMaxBytes = 0;
  int mMaxDepth = 0; ///< Nesting of objects and arrays.
};

/// Reason why parsing failed.
enum class ReadError
{
  kTooLarge,
  kTooDeep,
  kMalformed,
};

/// Parses one document. Never throws. Linear in the bytes; memory is bounded
/// by a constant factor of the input size.
std::variant<Value, ReadError>
Read(std::string_view aBytes, const ReadLimits& aLimits);

} // namespace heatherfork::detail::json
