#pragma once

#include <map>
#include <string>
#include <string_view>

#include "heatherfork/detail/configuration/mistake_list.h"

namespace heatherfork::detail {

/// Reports duplicate names. Skips empty names, which were already reported.
class UniqueNames
{
public:
  /// aKind goes into messages, such as "class" or "server address".
  UniqueNames(std::string_view aKind, MistakeList& aMistakes);

  void Add(const std::string& aName, const DocumentLocation& aLocation);

private:
  std::string mKind;
  MistakeList& mMistakes;
  std::map<std::string, DocumentLocation> mFirstLocations;
};

} // namespace heatherfork::detail
