#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "heatherfork/configuration.h"
#include "heatherfork/configuration_mistake.h"

/// The published JSON form of the configuration: one head and its parts.
namespace heatherfork {

/// Maximum size of the head and of each part, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = 1024UL * 1024UL;

/// Lists the parts of one revision.
struct ConfigurationHead
{
  Revision mRevision = 0;
  /// SHA-256 in lower-case hex by part key, such as "pool/clerk".
  std::map<std::string, std::string> mDigests;

  auto operator<=>(const ConfigurationHead&) const = default;
};

/// Part contents by digest. Revisions can share a part.
using ConfigurationParts = std::map<std::string, std::string, std::less<>>;

/// Result of parsing a head: the head, or all mistakes.
struct HeadParseResult
{
  std::optional<ConfigurationHead> mHead;
  std::vector<ConfigurationMistake> mMistakes;
};

/// Result of validating a revision.
struct ConfigurationBuildResult
{
  ConfigurationPtr mConfiguration; ///< Null when there are mistakes.
  std::vector<ConfigurationMistake> mMistakes;
};

/// A revision that was rejected because of mistakes.
struct RefusedRevision
{
  Revision mRevision = 0;
  std::vector<ConfigurationMistake> mMistakes;

  auto operator<=>(const RefusedRevision&) const = default;
};

/// SHA-256 in 64 lower-case hex digits. Linear.
std::string
DigestOf(std::string_view aBytes);

/// Parses a head. Never throws. Linear in the bytes.
HeadParseResult
ParseHead(std::string_view aBytes);

/// Digests in the head that aParts lacks, sorted and without duplicates.
std::vector<std::string>
MissingDigests(const ConfigurationHead& aHead,
               const ConfigurationParts& aParts);

/// Parses and validates one revision, ignoring parts that the head does not
/// list. Deterministic, so all nodes reach the same result. Never throws.
/// Linear in the bytes, plus a logarithmic lookup per key and a linear one per
/// reference to a class, model or service.
ConfigurationBuildResult
BuildConfiguration(const ConfigurationHead& aHead,
                   const ConfigurationParts& aParts);

/// Returns OK, or InvalidArgument with one mistake per line.
absl::Status
ToStatus(const std::vector<ConfigurationMistake>& aMistakes);

} // namespace heatherfork
