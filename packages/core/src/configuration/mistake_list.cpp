#include "heatherfork/detail/configuration/mistake_list.h"
#include "heatherfork/detail/text.h"

#include <algorithm>
#include <utility>

namespace heatherfork::detail {

namespace {

constexpr std::size_t kMaxMistakes = 1000;

} // namespace

DocumentLocation
DocumentLocation::Key(std::string_view aKey) const
{
  std::string path = mPath + "/";
  for (const char byte : aKey) {
    switch (byte) {
      case '~':
        path += "~0";
        break;
      case '/':
        path += "~1";
        break;
      default:
        path += byte;
    }
  }
  return DocumentLocation{ mPart, std::move(path) };
}

DocumentLocation
DocumentLocation::Index(std::size_t aIndex) const
{
  return DocumentLocation{ mPart, Concat(mPath, "/", aIndex) };
}

void
MistakeList::Add(MistakeCode aCode,
                 const DocumentLocation& aLocation,
                 std::string aExpected,
                 std::string aFound)
{
  ++mCount;
  if (mMistakes.size() >= kMaxMistakes) {
    return;
  }
  mMistakes.push_back(ConfigurationMistake{ aCode,
                                            aLocation.mPart,
                                            aLocation.mPath,
                                            std::move(aExpected),
                                            std::move(aFound) });
}

std::vector<ConfigurationMistake>
MistakeList::Take()
{
  std::stable_sort(
    mMistakes.begin(),
    mMistakes.end(),
    [](const ConfigurationMistake& aLeft, const ConfigurationMistake& aRight) {
      return aLeft.mPart < aRight.mPart;
    });
  if (mCount > mMistakes.size()) {
    mMistakes.push_back(
      ConfigurationMistake{ MistakeCode::kTooManyMistakes,
                            "head",
                            "",
                            Concat("at most ", kMaxMistakes, " mistakes"),
                            Concat(mCount) });
  }
  return std::move(mMistakes);
}

} // namespace heatherfork::detail
