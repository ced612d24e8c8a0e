#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "heatherfork/configuration_mistake.h"

namespace heatherfork::detail {

/// Location within a part: part key and JSON pointer.
struct DocumentLocation
{
  std::string mPart;
  std::string mPath;

  /// Location of a member of the object at this location.
  DocumentLocation Key(std::string_view aKey) const;

  /// Location of an element of the array at this location.
  DocumentLocation Index(std::size_t aIndex) const;
};

/// Collects a bounded number of mistakes, so that malicious input cannot
/// exhaust memory.
class MistakeList
{
public:
  void Add(MistakeCode aCode,
           const DocumentLocation& aLocation,
           std::string aExpected,
           std::string aFound);

  bool IsEmpty() const { return mMistakes.empty(); }

  /// Returns all mistakes ordered by part, then by detection. When the limit
  /// cut some off, the last one gives the total count.
  std::vector<ConfigurationMistake> Take();

private:
  std::vector<ConfigurationMistake> mMistakes;
  std::size_t mCount = 0;
};

} // namespace heatherfork::detail
