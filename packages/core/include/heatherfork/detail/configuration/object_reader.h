#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "heatherfork/detail/configuration/mistake_list.h"
#include "heatherfork/detail/json/value.h"

namespace heatherfork::detail {

/// Inclusive range of an integer.
struct IntegerRange
{
  std::int64_t mMinimum = 0;
  std::int64_t mMaximum = 0;
};

/// True for 1 to 64 letters, digits, '.', '_' or '-' that start with a letter
/// or digit.
bool
IsName(std::string_view aText);

/// Quotes text for a message: truncated to 64 bytes, bytes outside printable
/// ASCII as '?'.
std::string
Quoted(std::string_view aText);

/// Reads the members of one JSON object. Accessors report a mistake and return
/// the type's default, so one pass finds all mistakes. Lookups are
/// logarithmic, because an object may have 100,000 keys.
class ObjectReader
{
public:
  /// aValue and aMistakes must outlive the reader.
  ObjectReader(const json::Value& aValue,
               DocumentLocation aLocation,
               MistakeList& aMistakes);

  const DocumentLocation& Location() const { return mLocation; }

  /// True when the value is an object with this key.
  bool Has(std::string_view aKey) const;

  /// The keys of the object, sorted and without duplicates.
  std::vector<std::string> Keys() const;

  bool Boolean(std::string_view aKey);
  std::int64_t Integer(std::string_view aKey, IntegerRange aRange);

  /// Reads a valid name; empty after a mistake.
  std::string Name(std::string_view aKey);

  /// Reads a string; null after a mistake. aExpected goes into the message.
  const std::string* Text(std::string_view aKey, std::string_view aExpected);

  /// Reads an array of up to aMaxItems; empty after a mistake.
  const json::Array& Items(std::string_view aKey, std::size_t aMaxItems);

  /// Returns a value of any type. A missing key is a mistake and gives null.
  const json::Value* Required(std::string_view aKey);

  /// Reports unread and duplicate keys. Call once, after the accessors.
  void Finish();

private:
  const json::Value* Find(std::string_view aKey) const;
  void AddWrongType(std::string_view aKey,
                    std::string aExpected,
                    const json::Value& aFound);

  const json::Object* mObject = nullptr; ///< Null when not an object.
  std::map<std::string_view, const json::Value*>
    mValues; ///< First value of each key.
  DocumentLocation mLocation;
  MistakeList& mMistakes;
  std::vector<std::string> mExpectedKeys;
};

} // namespace heatherfork::detail
