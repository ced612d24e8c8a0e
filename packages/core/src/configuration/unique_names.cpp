#include "heatherfork/detail/configuration/unique_names.h"
#include "heatherfork/detail/text.h"

namespace heatherfork::detail {

UniqueNames::UniqueNames(std::string_view aKind, MistakeList& aMistakes)
  : mKind(aKind)
  , mMistakes(aMistakes)
{
}

void
UniqueNames::Add(const std::string& aName, const Place& aPlace)
{
  if (aName.empty()) {
    return;
  }
  const auto [it, isFirst] = mFirstPlaces.try_emplace(aName, aPlace);
  if (!isFirst) {
    mMistakes.Add(
      MistakeCode::kDuplicate,
      aPlace,
      Concat("its own ", mKind),
      Concat("the same as ", it->second.mPart, " ", it->second.mPath));
  }
}

} // namespace heatherfork::detail
