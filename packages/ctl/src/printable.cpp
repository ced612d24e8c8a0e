#include "heatherfork/ctl/detail/printable.h"

#include <cstddef>

namespace heatherfork::ctl::detail {

namespace {

bool
IsControl(unsigned char aByte)
{
  return aByte < 0x20 || aByte == 0x7f;
}

// U+0080 to U+009F in UTF-8.
bool
IsLateControl(unsigned char aByte, unsigned char aNext)
{
  return aByte == 0xc2 && aNext >= 0x80 && aNext < 0xa0;
}

} // namespace

std::string
Printable(std::string aText)
{
  for (std::size_t n = 0; n < aText.size(); ++n) {
    const auto byte = static_cast<unsigned char>(aText[n]);
    const auto next =
      static_cast<unsigned char>(n + 1 < aText.size() ? aText[n + 1] : 0);
    if (IsControl(byte)) {
      aText[n] = '?';
    } else if (IsLateControl(byte, next)) {
      aText.replace(n, 2, "??");
    }
  }
  return aText;
}

} // namespace heatherfork::ctl::detail
