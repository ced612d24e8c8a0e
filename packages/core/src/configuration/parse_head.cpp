#include <limits>

#include "heatherfork/configuration_document.h"
#include "heatherfork/detail/configuration/digest.h"
#include "heatherfork/detail/configuration/object_reader.h"
#include "heatherfork/detail/configuration/part_key.h"
#include "heatherfork/detail/configuration/read_document.h"
#include "heatherfork/detail/text.h"

namespace heatherfork {

namespace {

using detail::DocumentLocation;
using detail::MistakeList;
using detail::ObjectReader;

constexpr std::string_view kHead = "head";
constexpr detail::IntegerRange kRevisionRange{
  1,
  std::numeric_limits<std::int64_t>::max()
};

void
ReadPart(ObjectReader& aParts,
         const std::string& aKey,
         ConfigurationHead& aHead,
         MistakeList& aMistakes)
{
  const DocumentLocation location = aParts.Location().Key(aKey);
  if (!detail::ParsePartKey(aKey)) {
    aMistakes.Add(MistakeCode::kUnknownPart,
                  aParts.Location(),
                  std::string(detail::kPartKeyExpected),
                  detail::Quoted(aKey));
  }
  const std::string* digest = aParts.Text(aKey, detail::kDigestExpected);
  if (digest == nullptr) {
    return;
  }
  if (!detail::IsDigest(*digest)) {
    aMistakes.Add(MistakeCode::kBadValue,
                  location,
                  std::string(detail::kDigestExpected),
                  detail::Quoted(*digest));
    return;
  }
  aHead.mDigests.emplace(aKey, *digest);
}

void
ReadParts(const detail::json::Value& aValue,
          const DocumentLocation& aLocation,
          ConfigurationHead& aHead,
          MistakeList& aMistakes)
{
  ObjectReader parts(aValue, aLocation, aMistakes);
  for (const std::string& key : parts.Keys()) {
    ReadPart(parts, key, aHead, aMistakes);
  }
  parts.Finish();
  for (const std::string_view key : detail::kRequiredParts) {
    if (!parts.Has(key)) {
      aMistakes.Add(MistakeCode::kMissingPart,
                    aLocation,
                    detail::Concat("the part ", key),
                    "no such part");
    }
  }
}

} // namespace

HeadParseResult
ParseHead(std::string_view aBytes)
{
  MistakeList mistakes;
  const std::string name(kHead);
  const auto document = detail::ReadDocument(name, aBytes, mistakes);
  if (!document) {
    return HeadParseResult{ std::nullopt, mistakes.Take() };
  }
  ConfigurationHead head;
  ObjectReader reader(*document, DocumentLocation{ name, "" }, mistakes);
  head.mRevision =
    static_cast<Revision>(reader.Integer("revision", kRevisionRange));
  if (const auto* parts = reader.Required("parts")) {
    ReadParts(*parts, reader.Location().Key("parts"), head, mistakes);
  }
  reader.Finish();
  if (!mistakes.IsEmpty()) {
    return HeadParseResult{ std::nullopt, mistakes.Take() };
  }
  return HeadParseResult{ std::move(head), {} };
}

} // namespace heatherfork
