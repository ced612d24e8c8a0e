#pragma once

#include <string>

/// Texts from files on an operator's terminal.
namespace heatherfork::ctl::detail {

/// Replaces each byte of a control character by "?". Other text stays as it is.
std::string
Printable(std::string aText);

} // namespace heatherfork::ctl::detail
