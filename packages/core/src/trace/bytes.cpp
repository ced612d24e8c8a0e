#include "heatherfork/detail/trace/bytes.h"

#include <algorithm>
#include <charconv>

namespace heatherfork::detail::trace {

namespace {

constexpr int kHexBase = 16;
constexpr std::size_t kMaxHexDigits = 16;
constexpr std::string_view kHexDigits = "0123456789abcdef";

} // namespace

bool
IsPrintableAscii(std::string_view aBytes)
{
  return std::all_of(aBytes.begin(), aBytes.end(), [](char aByte) {
    return aByte >= ' ' && aByte <= '~';
  });
}

std::string
ToHex(std::string_view aBytes)
{
  std::string text;
  for (const char it : aBytes) {
    const auto byte = static_cast<unsigned char>(it);
    text += kHexDigits[byte / kHexBase];
    text += kHexDigits[byte % kHexBase];
  }
  return text;
}

std::optional<std::string>
FromHex(std::string_view aText)
{
  if (aText.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string bytes;
  for (std::size_t n = 0; n < aText.size(); n += 2) {
    const auto byte = NumberFromHex(aText.substr(n, 2));
    if (!byte) {
      return std::nullopt;
    }
    bytes += static_cast<char>(*byte);
  }
  return bytes;
}

std::string
NumberToHex(std::uint64_t aNumber)
{
  char buf[kMaxHexDigits];
  const auto result = std::to_chars(buf, buf + sizeof(buf), aNumber, kHexBase);
  return std::string(buf, result.ptr);
}

std::optional<std::uint64_t>
NumberFromHex(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number, kHexBase);
  if (aText.empty() || aText.size() > kMaxHexDigits ||
      result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string
DoubleToText(double aNumber)
{
  constexpr std::size_t kMaxDoubleLength = 32;
  char buf[kMaxDoubleLength];
  const auto result = std::to_chars(buf, buf + sizeof(buf), aNumber);
  return std::string(buf, result.ptr);
}

std::optional<double>
DoubleFromText(std::string_view aText)
{
  double number = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace heatherfork::detail::trace
