#include "heatherfork/detail/configuration/object_reader.h"
#include "heatherfork/detail/configuration/read_parts.h"
#include "heatherfork/detail/configuration/unique_names.h"

namespace heatherfork::detail {

namespace {

constexpr std::size_t kMaxServices = 1000;
constexpr std::size_t kMaxCalls = 1000;

void
ReadCalls(const ServiceName& aService,
          ObjectReader& aReader,
          Draft& aDraft,
          MistakeList& aMistakes)
{
  UniqueNames names("call name", aMistakes);
  const json::Array& items = aReader.Items("calls", kMaxCalls);
  for (std::size_t n = 0; n < items.size(); ++n) {
    ObjectReader item(
      items[n], aReader.Location().Key("calls").Index(n), aMistakes);
    ServiceCall call;
    call.mService = aService;
    call.mCall = item.Name("name");
    call.mClass.mValue = item.Name("class");
    item.Finish();
    names.Add(call.mCall, item.Location().Key("name"));
    aDraft.mCallLocations.push_back(item.Location());
    aDraft.mConfiguration.mCalls.push_back(std::move(call));
  }
}

} // namespace

void
ReadServices(const json::Value& aPart, Draft& aDraft, MistakeList& aMistakes)
{
  ObjectReader part(aPart, DocumentLocation{ "services", "" }, aMistakes);
  UniqueNames names("service name", aMistakes);
  const json::Array& items = part.Items("services", kMaxServices);
  for (std::size_t n = 0; n < items.size(); ++n) {
    ObjectReader item(
      items[n], part.Location().Key("services").Index(n), aMistakes);
    ServiceName service{ item.Name("name") };
    ReadCalls(service, item, aDraft, aMistakes);
    item.Finish();
    names.Add(service.mValue, item.Location().Key("name"));
    aDraft.mServices.push_back(std::move(service));
  }
  part.Finish();
  aDraft.mHasServices = true;
}

} // namespace heatherfork::detail
