#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "heatherfork/configuration.h"
#include "heatherfork/ctl/change.h"
#include "heatherfork/detail/text.h"

namespace heatherfork::ctl::detail {

using heatherfork::detail::Concat;

/// Collects the changes in the order in which they are added.
class ChangeList
{
public:
  void Add(std::string aText);

  /// Adds a change by which something is withdrawn or refused.
  void AddLoss(std::string aText);

  /// Adds "SUBJECT: FIELD from OLD to NEW" if the values differ.
  void AddField(std::string_view aSubject,
                std::string_view aField,
                const std::string& aOld,
                const std::string& aNew);
  void AddField(std::string_view aSubject,
                std::string_view aField,
                std::int64_t aOld,
                std::int64_t aNew);

  /// Adds "SUBJECT: TEXT" if the flag was set, and "SUBJECT: TEXT no longer"
  /// if it was cleared.
  void AddFlag(std::string_view aSubject,
               std::string_view aText,
               bool aOld,
               bool aNew);

  std::vector<Change> Take() { return std::move(mChanges); }

private:
  std::vector<Change> mChanges;
};

/// The old and the new version of an item. Null if the item does not exist.
template<class Item>
struct Pair
{
  const Item* mOld = nullptr;
  const Item* mNew = nullptr;
};

/// Pairs the items of two lists by the name that `aNameOf` returns.
template<class Item, class NameOf>
std::map<std::string, Pair<Item>>
PairUp(const std::vector<Item>& aOld,
       const std::vector<Item>& aNew,
       NameOf aNameOf)
{
  std::map<std::string, Pair<Item>> pairs;
  for (const Item& item : aOld) {
    pairs[aNameOf(item)].mOld = &item;
  }
  for (const Item& item : aNew) {
    pairs[aNameOf(item)].mNew = &item;
  }
  return pairs;
}

/// Pairs the items of two lists by their member mName.
template<class Item>
std::map<std::string, Pair<Item>>
PairUpByName(const std::vector<Item>& aOld, const std::vector<Item>& aNew)
{
  return PairUp(
    aOld, aNew, [](const Item& aItem) { return aItem.mName.mValue; });
}

// Each function adds the changes of one topic.
void
DescribeClasses(const Configuration& aOld,
                const Configuration& aNew,
                ChangeList& aChanges);
void
DescribeLimits(const Limits& aOld, const Limits& aNew, ChangeList& aChanges);
void
DescribeModels(const Configuration& aOld,
               const Configuration& aNew,
               ChangeList& aChanges);
void
DescribePools(const Configuration& aOld,
              const Configuration& aNew,
              ChangeList& aChanges);
void
DescribeServers(const Configuration& aOld,
                const Configuration& aNew,
                ChangeList& aChanges);
void
DescribeServices(const Configuration& aOld,
                 const Configuration& aNew,
                 ChangeList& aChanges);
void
DescribeWorkspaces(const Configuration& aOld,
                   const Configuration& aNew,
                   ChangeList& aChanges);

} // namespace heatherfork::ctl::detail
