#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heatherfork::detail {

/// Kind of a configuration part.
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

/// Parts that every revision must have.
inline constexpr std::string_view kRequiredParts[] = { "classes",
                                                       "limits",
                                                       "models",
                                                       "services" };

/// A parsed part key.
struct PartKey
{
  PartKind mKind = PartKind::kClasses;
  std::string mName; ///< Name of the pool or workspace; empty for other kinds.
};

/// Returns nothing when aText is not a part key.
std::optional<PartKey>
ParsePartKey(std::string_view aText);

} // namespace heatherfork::detail
