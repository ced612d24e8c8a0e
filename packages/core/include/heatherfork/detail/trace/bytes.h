#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Text encodings of bytes, 64-bit integers and floating-point numbers.
namespace heatherfork::detail::trace {

/// Returns true if all bytes are printable ASCII, which JSON text preserves.
bool
IsPrintableAscii(std::string_view aBytes);

/// Formats each byte as two lower-case hex digits.
std::string
ToHex(std::string_view aBytes);

/// Parses the output of ToHex; nullopt if it is malformed.
std::optional<std::string>
FromHex(std::string_view aText);

/// Formats a number as lower-case hex without leading zeros.
std::string
NumberToHex(std::uint64_t aNumber);

/// Parses 1 to 16 hex digits; nullopt if they are malformed.
std::optional<std::uint64_t>
NumberFromHex(std::string_view aText);

/// Returns the shortest text that parses to the same number.
std::string
DoubleToText(double aNumber);

/// Parses the output of DoubleToText; nullopt if it is malformed.
std::optional<double>
DoubleFromText(std::string_view aText);

} // namespace heatherfork::detail::trace
