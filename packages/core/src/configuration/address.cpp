#include "heatherfork/detail/configuration/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace heatherfork::detail {

namespace {

constexpr int kMaxPort = 65535;

bool
IsPort(std::string_view aText)
{
  const char* end = aText.data() + aText.size();
  int port = 0;
  const auto [rest, ec] = std::from_chars(aText.data(), end, port);
  const bool isFullyParsed = ec == std::errc{} && rest == end;
  return isFullyParsed && !aText.starts_with('0') && port > 0 &&
         port <= kMaxPort;
}

bool
IsIp(int aFamily, std::string_view aText)
{
  unsigned char binary[sizeof(in6_addr)];
  return inet_pton(aFamily, std::string(aText).c_str(), binary) == 1;
}

bool
IsHost(std::string_view aText)
{
  if (aText.starts_with('[') && aText.ends_with(']')) {
    return IsIp(AF_INET6, aText.substr(1, aText.size() - 2));
  }
  return IsIp(AF_INET, aText);
}

} // namespace

bool
IsAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  const bool hasNul = aText.find('\0') != std::string_view::npos;
  if (colon == std::string_view::npos || hasNul) {
    return false;
  }
  return IsHost(aText.substr(0, colon)) && IsPort(aText.substr(colon + 1));
}

} // namespace heatherfork::detail
