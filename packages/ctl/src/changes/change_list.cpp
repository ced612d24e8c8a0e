#include "heatherfork/ctl/detail/change_list.h"

#include <utility>

namespace heatherfork::ctl::detail {

void
ChangeList::Add(std::string aText)
{
  mChanges.push_back(Change{ false, std::move(aText) });
}

void
ChangeList::AddLoss(std::string aText)
{
  mChanges.push_back(Change{ true, std::move(aText) });
}

void
ChangeList::AddField(std::string_view aSubject,
                     std::string_view aField,
                     const std::string& aOld,
                     const std::string& aNew)
{
  if (aOld != aNew) {
    Add(Concat(aSubject, ": ", aField, " from ", aOld, " to ", aNew));
  }
}

void
ChangeList::AddField(std::string_view aSubject,
                     std::string_view aField,
                     std::int64_t aOld,
                     std::int64_t aNew)
{
  AddField(aSubject, aField, std::to_string(aOld), std::to_string(aNew));
}

void
ChangeList::AddFlag(std::string_view aSubject,
                    std::string_view aText,
                    bool aOld,
                    bool aNew)
{
  if (aOld == aNew) {
    return;
  }
  Add(Concat(aSubject, ": ", aText, aNew ? "" : " no longer"));
}

} // namespace heatherfork::ctl::detail
