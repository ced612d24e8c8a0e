#include "heatherfork/configuration_document.h"
#include "heatherfork/detail/configuration/digest.h"
#include "heatherfork/detail/configuration/object_reader.h"
#include "heatherfork/detail/configuration/read_parts.h"
#include "heatherfork/detail/text.h"

namespace heatherfork::detail {

namespace {

constexpr IntegerRange kMaxInFlightRange{ 1, 1000000 };
constexpr IntegerRange kWeightRange{ 1, 1000 };

/// Reads the digest of the workspace's key. Messages never include the value,
/// because an operator may have entered the key itself.
std::string
ReadKeyDigest(ObjectReader& aReader, MistakeList& aMistakes)
{
  const std::string* digest = aReader.Text("key_sha256", kDigestExpected);
  if (digest == nullptr) {
    return "";
  }
  const DocumentLocation location = aReader.Location().Key("key_sha256");
  if (!IsDigest(*digest)) {
    aMistakes.Add(MistakeCode::kBadValue,
                  location,
                  std::string(kDigestExpected),
                  Concat("a string of ", digest->size(), " bytes"));
    return "";
  }
  if (*digest == DigestOf("")) {
    aMistakes.Add(MistakeCode::kBadValue,
                  location,
                  "the SHA-256 of a key",
                  "the SHA-256 of an empty key");
    return "";
  }
  return *digest;
}

} // namespace

void
ReadWorkspace(const std::string& aName,
              const json::Value& aPart,
              Draft& aDraft,
              MistakeList& aMistakes)
{
  ObjectReader part(
    aPart, DocumentLocation{ "tenant/" + aName, "" }, aMistakes);
  Workspace workspace;
  workspace.mName.mValue = aName;
  workspace.mKeyDigest = ReadKeyDigest(part, aMistakes);
  workspace.mMaxInFlight =
    static_cast<int>(part.Integer("max_in_flight", kMaxInFlightRange));
  workspace.mWeight = static_cast<int>(part.Integer("weight", kWeightRange));
  part.Finish();
  aDraft.mConfiguration.mWorkspaces.push_back(std::move(workspace));
}

} // namespace heatherfork::detail
