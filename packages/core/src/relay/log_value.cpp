#include "heatherfork/detail/relay/log_value.h"

#include <algorithm>

#include <absl/strings/escaping.h>

namespace heatherfork::detail {

namespace {

bool
IsPlain(char aChar)
{
  return aChar > ' ' && aChar < 0x7f && aChar != '"' && aChar != '=';
}

} // namespace

std::string
LogValue(const std::string& aName)
{
  const bool isPlain =
    !aName.empty() && std::all_of(aName.begin(), aName.end(), IsPlain);
  return isPlain ? aName : '"' + absl::CHexEscape(aName) + '"';
}

} // namespace heatherfork::detail
