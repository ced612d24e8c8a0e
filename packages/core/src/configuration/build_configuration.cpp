#include <set>

#include "heatherfork/configuration_document.h"
#include "heatherfork/detail/configuration/object_reader.h"
#include "heatherfork/detail/configuration/part_key.h"
#include "heatherfork/detail/configuration/read_document.h"
#include "heatherfork/detail/configuration/read_parts.h"
#include "heatherfork/detail/text.h"

namespace heatherfork {

namespace {

using detail::DocumentLocation;
using detail::Draft;
using detail::MistakeList;
using detail::PartKey;
using detail::PartKind;

void
ReadPart(const PartKey& aKey,
         const detail::json::Value& aPart,
         Draft& aDraft,
         MistakeList& aMistakes)
{
  switch (aKey.mKind) {
    case PartKind::kClasses:
      return detail::ReadClasses(aPart, aDraft, aMistakes);
    case PartKind::kLimits:
      return detail::ReadLimits(aPart, aDraft, aMistakes);
    case PartKind::kModels:
      return detail::ReadModels(aPart, aDraft, aMistakes);
    case PartKind::kServices:
      return detail::ReadServices(aPart, aDraft, aMistakes);
    case PartKind::kPool:
      return detail::ReadPool(aKey.mName, aPart, aDraft, aMistakes);
    case PartKind::kWorkspace:
      return detail::ReadWorkspace(aKey.mName, aPart, aDraft, aMistakes);
  }
}

/// Finds a part by digest and verifies its bytes; null after a mistake.
const std::string*
FindPartBytes(const std::string& aKey,
              const std::string& aDigest,
              const ConfigurationParts& aParts,
              MistakeList& aMistakes)
{
  const DocumentLocation location{ aKey, "" };
  const std::string expected =
    detail::Concat("bytes with the SHA-256 ", aDigest);
  const auto it = aParts.find(aDigest);
  if (it == aParts.end()) {
    aMistakes.Add(MistakeCode::kPartAbsent, location, expected, "none");
    return nullptr;
  }
  const std::string found = DigestOf(it->second);
  if (found != aDigest) {
    aMistakes.Add(MistakeCode::kDigestMismatch, location, expected, found);
    return nullptr;
  }
  return &it->second;
}

void
ReadPartByKey(const std::string& aKey,
              const std::string& aDigest,
              const ConfigurationParts& aParts,
              Draft& aDraft,
              MistakeList& aMistakes)
{
  const auto key = detail::ParsePartKey(aKey);
  if (!key) {
    aMistakes.Add(MistakeCode::kUnknownPart,
                  DocumentLocation{ "head", "/parts" },
                  std::string(detail::kPartKeyExpected),
                  detail::Quoted(aKey));
    return;
  }
  const std::string* bytes = FindPartBytes(aKey, aDigest, aParts, aMistakes);
  if (bytes == nullptr) {
    return;
  }
  const auto document = detail::ReadDocument(aKey, *bytes, aMistakes);
  if (document) {
    ReadPart(*key, *document, aDraft, aMistakes);
  }
}

void
CheckRequiredParts(const ConfigurationHead& aHead, MistakeList& aMistakes)
{
  for (const std::string_view key : detail::kRequiredParts) {
    if (!aHead.mDigests.contains(std::string(key))) {
      aMistakes.Add(MistakeCode::kMissingPart,
                    DocumentLocation{ "head", "/parts" },
                    detail::Concat("the part ", key),
                    "no such part");
    }
  }
}

} // namespace

std::vector<std::string>
MissingDigests(const ConfigurationHead& aHead, const ConfigurationParts& aParts)
{
  std::set<std::string> missing;
  for (const auto& [key, digest] : aHead.mDigests) {
    if (!aParts.contains(digest)) {
      missing.insert(digest);
    }
  }
  return { missing.begin(), missing.end() };
}

ConfigurationBuildResult
BuildConfiguration(const ConfigurationHead& aHead,
                   const ConfigurationParts& aParts)
{
  MistakeList mistakes;
  Draft draft;
  CheckRequiredParts(aHead, mistakes);
  for (const auto& [key, digest] : aHead.mDigests) {
    ReadPartByKey(key, digest, aParts, draft, mistakes);
  }
  detail::CheckAcrossParts(draft, mistakes);
  if (!mistakes.IsEmpty()) {
    return ConfigurationBuildResult{ nullptr, mistakes.Take() };
  }
  draft.mConfiguration.mRevision = aHead.mRevision;
  return ConfigurationBuildResult{
    std::make_shared<const Configuration>(std::move(draft.mConfiguration)), {}
  };
}

absl::Status
ToStatus(const std::vector<ConfigurationMistake>& aMistakes)
{
  if (aMistakes.empty()) {
    return absl::OkStatus();
  }
  std::string text;
  for (const ConfigurationMistake& mistake : aMistakes) {
    text += text.empty() ? "" : "\n";
    text += ToString(mistake);
  }
  return absl::InvalidArgumentError(text);
}

} // namespace heatherfork
