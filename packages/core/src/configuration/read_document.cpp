#include "heatherfork/detail/configuration/read_document.h"

#include <cstdlib>

#include "heatherfork/configuration_document.h"
#include "heatherfork/detail/json/read.h"
#include "heatherfork/detail/text.h"

namespace heatherfork::detail {

namespace {

constexpr int kMaxDepth = 8;

void
AddReadError(json::ReadError aError,
             const DocumentLocation& aLocation,
             std::string_view aBytes,
             MistakeList& aMistakes)
{
  switch (aError) {
    case json::ReadError::kTooLarge:
      aMistakes.Add(MistakeCode::kTooLarge,
                    aLocation,
                    Concat("at most ", kMaxDocumentBytes, " bytes"),
                    Concat(aBytes.size(), " bytes"));
      return;
    case json::ReadError::kTooDeep:
      aMistakes.Add(MistakeCode::kTooDeep,
                    aLocation,
                    Concat("at most ", kMaxDepth, " levels of JSON"),
                    "more");
      return;
    case json::ReadError::kMalformed:
      aMistakes.Add(MistakeCode::kBadJson,
                    aLocation,
                    "one JSON document in UTF-8",
                    Concat(aBytes.size(), " bytes that are none"));
      return;
  }
  std::abort();
}

} // namespace

std::optional<json::Value>
ReadDocument(const std::string& aPart,
             std::string_view aBytes,
             MistakeList& aMistakes)
{
  auto result =
    json::Read(aBytes, json::ReadLimits{ kMaxDocumentBytes, kMaxDepth });
  if (const auto* error = std::get_if<json::ReadError>(&result)) {
    AddReadError(*error, DocumentLocation{ aPart, "" }, aBytes, aMistakes);
    return std::nullopt;
  }
  return std::get<json::Value>(std::move(result));
}

} // namespace heatherfork::detail
