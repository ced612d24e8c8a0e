#include "heatherfork/detail/configuration/object_reader.h"
#include "heatherfork/detail/configuration/read_parts.h"
#include "heatherfork/detail/configuration/unique_names.h"

namespace heatherfork::detail {

namespace {

constexpr std::size_t kMaxClasses = 100;
constexpr IntegerRange kDeadlineMsRange{ 1, 86400000 };
constexpr IntegerRange kPriorityRange{ 0, 100 };

WorkClass
ReadClass(ObjectReader& aReader, MistakeList& aMistakes)
{
  WorkClass workClass;
  workClass.mName.mValue = aReader.Name("name");
  workClass.mMayWait = aReader.Boolean("may_wait");
  workClass.mMustNotRepeat = aReader.Boolean("must_not_repeat");
  workClass.mDeadline =
    Milliseconds(aReader.Integer("deadline_ms", kDeadlineMsRange));
  workClass.mPriority =
    static_cast<int>(aReader.Integer("priority", kPriorityRange));
  // Work that may wait is also stored at a second node, which can run it after
  // a crash of the first node and so repeat it.
  if (workClass.mMayWait && workClass.mMustNotRepeat) {
    aMistakes.Add(MistakeCode::kClassConflict,
                  aReader.Location(),
                  "at most one of may_wait and must_not_repeat",
                  "both");
  }
  return workClass;
}

} // namespace

void
ReadClasses(const json::Value& aPart, Draft& aDraft, MistakeList& aMistakes)
{
  ObjectReader part(aPart, DocumentLocation{ "classes", "" }, aMistakes);
  UniqueNames names("class name", aMistakes);
  const json::Array& items = part.Items("classes", kMaxClasses);
  for (std::size_t n = 0; n < items.size(); ++n) {
    ObjectReader item(
      items[n], part.Location().Key("classes").Index(n), aMistakes);
    WorkClass workClass = ReadClass(item, aMistakes);
    item.Finish();
    names.Add(workClass.mName.mValue, item.Location().Key("name"));
    aDraft.mConfiguration.mClasses.push_back(std::move(workClass));
  }
  part.Finish();
  aDraft.mHasClasses = true;
}

} // namespace heatherfork::detail
