#include "heatherfork/detail/settings_range.h"

#include <absl/strings/str_cat.h>

namespace heatherfork::detail {

absl::Status
CheckRanges(const char* aSection, const std::vector<SettingRange>& aRanges)
{
  for (const SettingRange& range : aRanges) {
    if (range.mValue < range.mMin || range.mValue > range.mMax) {
      return absl::InvalidArgumentError(absl::StrCat(aSection,
                                                     ".",
                                                     range.mName,
                                                     " must be from ",
                                                     range.mMin,
                                                     " to ",
                                                     range.mMax));
    }
  }
  return absl::OkStatus();
}

} // namespace heatherfork::detail
