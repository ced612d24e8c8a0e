#pragma once

#include <cstdint>
#include <vector>

#include <absl/status/status.h>

/// Range checks of numeric settings.
namespace heatherfork::detail {

/// A setting with its value and its inclusive range.
struct SettingRange
{
  const char* mName;
  std::int64_t mValue;
  std::int64_t mMin;
  std::int64_t mMax;
};

/// Returns InvalidArgument, with the name "section.setting", for the first
/// value that is out of range.
absl::Status
CheckRanges(const char* aSection, const std::vector<SettingRange>& aRanges);

} // namespace heatherfork::detail
