#include "heatherfork/detail/configuration/unique_names.h"
#include "heatherfork/detail/text.h"

namespace heatherfork::detail {

UniqueNames::UniqueNames(std::string_view aKind, MistakeList& aMistakes)
  : mKind(aKind)
  , mMistakes(aMistakes)
{
}

void
UniqueNames::Add(const std::string& aName, const DocumentLocation& aLocation)
{
  if (aName.empty()) {
    return;
  }
  const auto [it, isFirst] = mFirstLocations.try_emplace(aName, aLocation);
  if (!isFirst) {
    mMistakes.Add(
      MistakeCode::kDuplicate,
      aLocation,
      Concat("its own ", mKind),
      Concat("the same as ", it->second.mPart, " ", it->second.mPath));
  }
}

} // namespace heatherfork::detail
