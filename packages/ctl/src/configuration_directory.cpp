#include "heatherfork/ctl/detail/configuration_directory.h"

#include <fstream>

#include "heatherfork/detail/text.h"

namespace heatherfork::ctl::detail {

using heatherfork::detail::Concat;

namespace {

/// One byte above the limit, so that validation reports a part as too large.
constexpr std::size_t kMaxReadBytes = kMaxDocumentBytes + 1;

ConfigurationParts
ReadParts(const std::string& aDirectory, const ConfigurationHead& aHead)
{
  ConfigurationParts parts;
  for (const auto& [key, digest] : aHead.mDigests) {
    // ParseHead() accepts only hexadecimal digests, so the path can't leave the
    // directory.
    auto bytes = ReadFile(Concat(aDirectory, "/parts/", digest), kMaxReadBytes);
    if (bytes.ok()) {
      parts[digest] = *std::move(bytes);
    }
  }
  return parts;
}

} // namespace

absl::StatusOr<std::string>
ReadFile(const std::string& aPath, std::size_t aMaxBytes)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string bytes(aMaxBytes + 1, '\0');
  file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  if (!file.is_open() || file.bad()) {
    return absl::NotFoundError(
      Concat(aPath, ": expected a file that can be read, found none"));
  }
  bytes.resize(static_cast<std::size_t>(file.gcount()));
  if (bytes.size() > aMaxBytes) {
    return absl::InvalidArgumentError(
      Concat(aPath, ": expected at most ", aMaxBytes, " bytes, found more"));
  }
  return bytes;
}

absl::StatusOr<ConfigurationBuildResult>
ReadDirectory(const std::string& aDirectory)
{
  const auto bytes = ReadFile(aDirectory + "/head.json", kMaxReadBytes);
  if (!bytes.ok()) {
    return bytes.status();
  }
  HeadParseResult head = ParseHead(*bytes);
  if (!head.mHead) {
    return ConfigurationBuildResult{ nullptr, std::move(head.mMistakes) };
  }
  return BuildConfiguration(*head.mHead, ReadParts(aDirectory, *head.mHead));
}

} // namespace heatherfork::ctl::detail
