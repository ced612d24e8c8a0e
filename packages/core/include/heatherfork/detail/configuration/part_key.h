#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heatherfork::detail {

/// What a part describes.
enum class PartKind : std::uint8_t
{
  kClasses,
  kLimits,
  kModels,
  kServices,
  kPool,
  kWorkspace,
};

inline constexpr std::string_view kPartKeyExpected =
  "classes, limits, models, services, pool/NAME or tenant/NAME";

/// Parts that every revision has.
inline constexpr std::string_view kRequiredParts[] = { "classes",
                                                       "limits",
                                                       "models",
                                                       "services" };

/// A part's key, taken apart.
struct PartKey
{
  PartKind mKind = PartKind::kClasses;
  std::string mName; ///< Of the pool or the workspace.
};

/// Nothing when the text is no key of a part.
std::optional<PartKey>
ParsePartKey(std::string_view aText);

} // namespace heatherfork::detail
