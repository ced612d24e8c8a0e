#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "heatherfork/detail/json/value.h"

/// Output of text tables.
namespace heatherfork::ctl::detail {

using Row = std::vector<std::string>;

/// Prints rows with aligned columns. Rows may have different lengths.
void
PrintTable(const std::vector<Row>& aRows, std::ostream& aOut);

/// Prints an object: first its scalar values, then a section for each nested
/// object and array, with one line per item. Control characters are replaced by
/// '?', as they could change the state of the terminal.
void
PrintJson(const heatherfork::detail::json::Value& aValue, std::ostream& aOut);

} // namespace heatherfork::ctl::detail
