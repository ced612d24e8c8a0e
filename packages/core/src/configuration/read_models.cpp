#include "heatherfork/detail/configuration/object_reader.h"
#include "heatherfork/detail/configuration/read_parts.h"
#include "heatherfork/detail/configuration/unique_names.h"

namespace heatherfork::detail {

namespace {

constexpr std::size_t kMaxModels = 1000;
constexpr std::size_t kMaxAdapters = 1000;
constexpr IntegerRange kSharePercentRange{ 0, 100 };

std::vector<AdapterName>
ReadAdapters(ObjectReader& aReader, MistakeList& aMistakes)
{
  std::vector<AdapterName> adapters;
  UniqueNames names("adapter name", aMistakes);
  const json::Array& items = aReader.Items("adapters", kMaxAdapters);
  for (std::size_t n = 0; n < items.size(); ++n) {
    ObjectReader item(
      items[n], aReader.Location().Key("adapters").Index(n), aMistakes);
    AdapterName adapter{ item.Name("name") };
    item.Finish();
    names.Add(adapter.mValue, item.Location().Key("name"));
    adapters.push_back(std::move(adapter));
  }
  return adapters;
}

/// Reads "next": null, or a version and its traffic share.
void
ReadNext(ObjectReader& aReader, Model& aModel, MistakeList& aMistakes)
{
  const json::Value* value = aReader.Required("next");
  if (value == nullptr ||
      std::holds_alternative<std::monostate>(value->mData)) {
    return;
  }
  ObjectReader next(*value, aReader.Location().Key("next"), aMistakes);
  aModel.mNextVersion.mValue = next.Name("version");
  aModel.mNextShare =
    static_cast<int>(next.Integer("share_percent", kSharePercentRange));
  next.Finish();
  if (!aModel.mNextVersion.Empty() && aModel.mNextVersion == aModel.mVersion) {
    aMistakes.Add(MistakeCode::kDuplicate,
                  next.Location().Key("version"),
                  "another version than the one in force",
                  Quoted(aModel.mNextVersion.mValue));
  }
}

Model
ReadModel(ObjectReader& aReader, MistakeList& aMistakes)
{
  Model model;
  model.mName.mValue = aReader.Name("name");
  model.mVersion.mValue = aReader.Name("version");
  model.mAdapters = ReadAdapters(aReader, aMistakes);
  model.mDefaultClass.mValue = aReader.Name("default_class");
  ReadNext(aReader, model, aMistakes);
  return model;
}

} // namespace

void
ReadModels(const json::Value& aPart, Draft& aDraft, MistakeList& aMistakes)
{
  ObjectReader part(aPart, DocumentLocation{ "models", "" }, aMistakes);
  UniqueNames names("model name", aMistakes);
  const json::Array& items = part.Items("models", kMaxModels);
  for (std::size_t n = 0; n < items.size(); ++n) {
    ObjectReader item(
      items[n], part.Location().Key("models").Index(n), aMistakes);
    Model model = ReadModel(item, aMistakes);
    item.Finish();
    names.Add(model.mName.mValue, item.Location().Key("name"));
    aDraft.mConfiguration.mModels.push_back(std::move(model));
  }
  part.Finish();
  aDraft.mHasModels = true;
}

} // namespace heatherfork::detail
