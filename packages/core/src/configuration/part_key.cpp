#include "heatherfork/detail/configuration/part_key.h"

#include <array>
#include <utility>

#include "heatherfork/detail/configuration/object_reader.h"

namespace heatherfork::detail {

namespace {

constexpr std::array<std::pair<std::string_view, PartKind>, 4> kUnnamedParts{ {
  { "classes", PartKind::kClasses },
  { "limits", PartKind::kLimits },
  { "models", PartKind::kModels },
  { "services", PartKind::kServices },
} };

constexpr std::array<std::pair<std::string_view, PartKind>, 2> kNamedParts{ {
  { "pool/", PartKind::kPool },
  { "tenant/", PartKind::kWorkspace },
} };

} // namespace

std::optional<PartKey>
ParsePartKey(std::string_view aText)
{
  for (const auto& [key, kind] : kUnnamedParts) {
    if (aText == key) {
      return PartKey{ kind, "" };
    }
  }
  for (const auto& [prefix, kind] : kNamedParts) {
    if (!aText.starts_with(prefix)) {
      continue;
    }
    const std::string_view name = aText.substr(prefix.size());
    if (IsName(name)) {
      return PartKey{ kind, std::string(name) };
    }
  }
  return std::nullopt;
}

} // namespace heatherfork::detail
