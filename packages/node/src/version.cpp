#include "heatherfork/version.h"

namespace heatherfork {

std::string_view
Version()
{
  return "0.1.0";
}

} // namespace heatherfork
