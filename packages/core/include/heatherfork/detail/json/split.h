#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Splits documents whose parts may be invalid JSON, without reading them.
namespace heatherfork::detail::json {

/// A document whose array at one key is read item by item.
struct SplitDocument
{
  std::string mRest;                    ///< With an empty array in its place.
  std::vector<std::string_view> mItems; ///< The text of each item.
};

/// Splits the outermost object of a document at the array of one of its
/// members. Strings and nesting are found by quotes and brackets alone. Returns
/// nothing if there is no such array. Linear.
std::optional<SplitDocument>
SplitAt(std::string_view aDocument, std::string_view aKey);

/// Finds a string among the members of an object's text. Bytes that are no
/// UTF-8 are kept as they are; a surrogate without its partner becomes three
/// bytes. Returns nothing if the member is missing or no string. Linear.
std::optional<std::string>
FindString(std::string_view aObject, std::string_view aKey);

} // namespace heatherfork::detail::json
