#include <algorithm>

#include "heatherfork/detail/configuration/address.h"
#include "heatherfork/detail/configuration/object_reader.h"
#include "heatherfork/detail/configuration/read_parts.h"
#include "heatherfork/detail/text.h"

namespace heatherfork::detail {

namespace {

constexpr std::size_t kMaxServers = 2000;
constexpr IntegerRange kSlotsRange{ 1, 100000 };
constexpr IntegerRange kPiecesRange{ 1, 1000000 };
constexpr IntegerRange kMinimumServersRange{ 0, kMaxServers };

std::string
ReadAddress(ObjectReader& aReader, MistakeList& aMistakes)
{
  const std::string* text = aReader.Text("address", kAddressExpected);
  if (text == nullptr) {
    return "";
  }
  if (!IsAddress(*text)) {
    aMistakes.Add(MistakeCode::kBadValue,
                  aReader.Location().Key("address"),
                  std::string(kAddressExpected),
                  Quoted(*text));
    return "";
  }
  return *text;
}

/// Returns kPlain, which is not an engine role, after a mistake.
Role
ReadEngineRole(ObjectReader& aReader, MistakeList& aMistakes)
{
  constexpr std::string_view kExpected = "\"prefill\" or \"decode\"";
  const std::string* text = aReader.Text("role", kExpected);
  if (text == nullptr) {
    return Role::kPlain;
  }
  if (*text == "prefill") {
    return Role::kPrefill;
  }
  if (*text == "decode") {
    return Role::kDecode;
  }
  aMistakes.Add(MistakeCode::kBadValue,
                aReader.Location().Key("role"),
                std::string(kExpected),
                Quoted(*text));
  return Role::kPlain;
}

/// Reads the keys that only engines have.
void
ReadEngine(ObjectReader& aReader,
           BackendServer& aServer,
           MistakeList& aMistakes)
{
  aServer.mRole = ReadEngineRole(aReader, aMistakes);
  aServer.mPieces = static_cast<int>(aReader.Integer("pieces", kPiecesRange));
  aServer.mChecksFencing = aReader.Boolean("checks_fencing");
}

BackendServer
ReadServer(ObjectReader& aReader, bool aIsEngine, MistakeList& aMistakes)
{
  BackendServer server;
  server.mName.mValue = aReader.Name("name");
  server.mAddress.mValue = ReadAddress(aReader, aMistakes);
  server.mZone.mValue = aReader.Name("zone");
  server.mSlots = static_cast<int>(aReader.Integer("slots", kSlotsRange));
  server.mLeaving = aReader.Boolean("leaving");
  if (aIsEngine) {
    ReadEngine(aReader, server, aMistakes);
  }
  return server;
}

/// Reads the model or service that the pool serves. Returns true when its
/// servers are engines.
bool
ReadServedTarget(ObjectReader& aReader, Pool& aPool)
{
  if (aReader.Has("service")) {
    aPool.mService.mValue = aReader.Name("service");
    return false;
  }
  aPool.mModel.mValue = aReader.Name("model");
  aPool.mMinimumPrefill =
    static_cast<int>(aReader.Integer("minimum_prefill", kMinimumServersRange));
  aPool.mMinimumDecode =
    static_cast<int>(aReader.Integer("minimum_decode", kMinimumServersRange));
  return true;
}

void
CheckMinimumServers(const Pool& aPool,
                    Role aRole,
                    int aMinimum,
                    const DocumentLocation& aLocation,
                    MistakeList& aMistakes)
{
  const auto count =
    std::count_if(aPool.mServers.begin(),
                  aPool.mServers.end(),
                  [aRole](const BackendServer& aServer) {
                    return aServer.mRole == aRole && !aServer.mLeaving;
                  });
  if (aMinimum > count) {
    aMistakes.Add(MistakeCode::kTooFewServers,
                  aLocation,
                  Concat("at most the ",
                         count,
                         " servers of that role that aren't leaving"),
                  Concat(aMinimum));
  }
}

} // namespace

void
ReadPool(const std::string& aName,
         const json::Value& aPart,
         Draft& aDraft,
         MistakeList& aMistakes)
{
  ObjectReader part(aPart, DocumentLocation{ "pool/" + aName, "" }, aMistakes);
  Pool pool;
  pool.mName.mValue = aName;
  const bool hasEngines = ReadServedTarget(part, pool);
  const json::Array& items = part.Items("servers", kMaxServers);
  for (std::size_t n = 0; n < items.size(); ++n) {
    ObjectReader item(
      items[n], part.Location().Key("servers").Index(n), aMistakes);
    pool.mServers.push_back(ReadServer(item, hasEngines, aMistakes));
    item.Finish();
  }
  part.Finish();
  CheckMinimumServers(pool,
                      Role::kPrefill,
                      pool.mMinimumPrefill,
                      part.Location().Key("minimum_prefill"),
                      aMistakes);
  CheckMinimumServers(pool,
                      Role::kDecode,
                      pool.mMinimumDecode,
                      part.Location().Key("minimum_decode"),
                      aMistakes);
  aDraft.mConfiguration.mPools.push_back(std::move(pool));
}

} // namespace heatherfork::detail
