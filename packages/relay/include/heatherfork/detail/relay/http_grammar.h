#pragma once

#include <algorithm>
#include <cctype>
#include <string_view>

/// Parts of the grammar of HTTP/1.1 messages.
namespace heatherfork::relay {

/// Whether a byte may occur in the name of a field.
inline bool
IsTokenChar(char aChar)
{
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(aChar)) != 0 ||
         kPunctuation.find(aChar) != std::string_view::npos;
}

/// Whether a byte may not occur in the value of a field.
inline bool
IsControl(char aChar)
{
  return (static_cast<unsigned char>(aChar) < 0x20 && aChar != '\t') ||
         aChar == 0x7f;
}

/// Whether the value of a field can hold a text as it is: it is not empty, has
/// no tabs or control characters and no blank at either end.
inline bool
IsFieldText(std::string_view aText)
{
  const auto isAllowed = [](char aChar) {
    return aChar != '\t' && !IsControl(aChar);
  };
  return !aText.empty() && aText.front() != ' ' && aText.back() != ' ' &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

/// Whether a response with this status answers a request, or precedes the one
/// that does. No request asks to switch protocols, and nothing that follows
/// such a response is HTTP.
inline bool
IsResponseStatus(int aStatus)
{
  constexpr int kFirstStatus = 100;
  constexpr int kLastStatus = 599;
  constexpr int kSwitchingProtocols = 101;
  return aStatus >= kFirstStatus && aStatus <= kLastStatus &&
         aStatus != kSwitchingProtocols;
}

} // namespace heatherfork::relay
