#include "heatherfork/detail/relay/store_copy.h"
#include "heatherfork/store_readers.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using relay::StoreCopy;
using relay::StoreNews;

namespace {

// Values are "<what it says>,<sign of life>".
bool
Differs(const StoreItem& aOld, const StoreItem& aNew)
{
  const auto said = [](const StoreItem& aItem) {
    return aItem.mValue.substr(0, aItem.mValue.find(','));
  };
  return said(aOld) != said(aNew);
}

StoreAnswer
AnswerOf(Revision aAt, std::vector<StoreItem> aItems, bool aHasMore = false)
{
  StoreAnswer answer;
  answer.mStatus = StoreAnswer::Status::kOk;
  answer.mAt = aAt;
  answer.mItems = std::move(aItems);
  answer.mHasMore = aHasMore;
  return answer;
}

/// Holds a and b as of revision 10.
StoreCopy
WholeCopy()
{
  StoreCopy copy(Differs);
  CHECK(copy.TakePage(
    AnswerOf(10, { { "a", "x,1", 4, false }, { "b", "x,1", 9, false } })));
  return copy;
}

std::string
TextOf(const StoreCopy& aCopy)
{
  std::string text = std::to_string(aCopy.At()) + ":";
  for (const auto& [key, item] : aCopy.Held()) {
    text += " " + key + "=" + item.mValue;
  }
  return text;
}

Members
MembersOf(int aCount, int aZones)
{
  Members members;
  for (int n = 0; n < aCount; ++n) {
    Member member;
    member.mNode = { NodeName{ "n" + std::to_string(n) }, 1 };
    member.mZone.mValue = "z" + std::to_string(n % aZones);
    members.push_back(member);
  }
  return members;
}

Members
ReadersOf(const Members& aMembers)
{
  Members readers;
  for (const Member& member : aMembers) {
    if (ReadsStore(aMembers, member.mNode)) {
      readers.push_back(member);
    }
  }
  return readers;
}

} // namespace

TEST_GROUP(StoreCopy){};

TEST(StoreCopy, NewsOfPeersComeInAnyOrder)
{
  struct Row
  {
    const char* mName;
    StoreNews mNews;
    StoreCopy::Taken mTaken;
    const char* mHeld;
  };
  const Row kRows[] = {
    { "next",
      { 10, 12, { { "a", "y,2", 12, false } } },
      StoreCopy::Taken::kChanged,
      "12: a=y,2 b=x,1" },
    { "overlapping",
      { 3, 11, { { "a", "x,1", 4, false }, { "b", "", 11, true } } },
      StoreCopy::Taken::kChanged,
      "11: a=x,1" },
    { "sign of life",
      { 10, 12, { { "a", "x,2", 12, false } } },
      StoreCopy::Taken::kNothing,
      "12: a=x,2 b=x,1" },
    { "nothing",
      { 10, 10, {} },
      StoreCopy::Taken::kNothing,
      "10: a=x,1 b=x,1" },
    { "older",
      { 6, 9, { { "b", "", 9, true } } },
      StoreCopy::Taken::kOlder,
      "10: a=x,1 b=x,1" },
    { "hole",
      { 11, 12, { { "a", "y,2", 12, false } } },
      StoreCopy::Taken::kHole,
      "10: a=x,1 b=x,1" },
    { "older end",
      { 5, 12, { { "b", "", 8, true } } },
      StoreCopy::Taken::kNothing,
      "12: a=x,1 b=x,1" },
  };
  for (const Row& row : kRows) {
    StoreCopy copy = WholeCopy();
    CHECK_TEXT(copy.TakeNews(row.mNews) == row.mTaken, row.mName);
    STRCMP_EQUAL_TEXT(row.mHeld, TextOf(copy).c_str(), row.mName);
  }
}

// Load: a watch waits while peers are quicker.
TEST(StoreCopy, AnAnswerOlderThanNewsBringsNothingBack)
{
  StoreCopy copy = WholeCopy();
  CHECK(copy.TakeNews({ 10, 13, { { "a", "", 13, true } } }) ==
        StoreCopy::Taken::kChanged);
  StoreNews news;
  CHECK_FALSE(
    copy.TakeEvents(AnswerOf(12, { { "a", "y,2", 12, false } }), news));
  STRCMP_EQUAL("13: b=x,1", TextOf(copy).c_str());
  CHECK(news.mItems.empty());
  // One that is newer holds all that came between, in order.
  CHECK(copy.TakeEvents(AnswerOf(14,
                                 { { "a", "y,2", 12, false },
                                   { "a", "", 13, true },
                                   { "b", "z,2", 14, false } }),
                        news));
  STRCMP_EQUAL("14: b=z,2", TextOf(copy).c_str());
}

TEST(StoreCopy, SignsOfLifeAreNotPassedOn)
{
  StoreCopy copy = WholeCopy();
  StoreNews news;
  CHECK(copy.TakeEvents(
    AnswerOf(12, { { "a", "x,2", 11, false }, { "b", "y,2", 12, false } }),
    news));
  CHECK_EQUAL(10, news.mFrom);
  CHECK_EQUAL(12, news.mAt);
  CHECK_EQUAL(1, news.mItems.size());
  STRCMP_EQUAL("b", news.mItems[0].mKey.c_str());
}

TEST(StoreCopy, PagesAreTakenWhenTheLastHasCome)
{
  StoreCopy copy(Differs);
  CHECK_FALSE(copy.TakePage(AnswerOf(10, { { "a", "x,1", 4, false } }, true)));
  STRCMP_EQUAL("a", copy.PageFrom().c_str());
  CHECK_FALSE(copy.IsWhole());
  CHECK(copy.TakePage(AnswerOf(15, { { "b", "x,1", 9, false } })));
  STRCMP_EQUAL("10: a=x,1 b=x,1", TextOf(copy).c_str());
  CHECK(copy.IsWhole());
}

TEST(StoreCopy, APeersCopyStandsForAReadingUnderWay)
{
  StoreCopy copy = WholeCopy();
  copy.Restart();
  CHECK(copy.TakeNews({ 10, 11, {} }) == StoreCopy::Taken::kHole);
  CHECK_FALSE(copy.TakeWhole(9, {}));
  CHECK(copy.TakeWhole(20, { { "c", { "c", "x,1", 18, false } } }));
  CHECK(copy.IsWhole());
  // The own reading began before and is late.
  CHECK_FALSE(copy.TakePage(AnswerOf(19, {})));
  STRCMP_EQUAL("20: c=x,1", TextOf(copy).c_str());
}

// Load: fleets of all sizes; the calls of the store must not grow with them.
TEST(StoreCopy, AFewNodesReadForAll)
{
  for (const int zones : { 1, 2, 4 }) {
    for (const int count : { 1, 2, 3, 8, 70, 570 }) {
      Members members = MembersOf(count, zones);
      const Members readers = ReadersOf(members);
      CHECK_EQUAL(std::min(count, 2), static_cast<int>(readers.size()));
      if (count >= 2 && zones >= 2) {
        CHECK(readers[0].mZone != readers[1].mZone);
      }
      if (count < 3) {
        continue;
      }
      // One that is lost is replaced, the other one stays.
      for (Member& member : members) {
        if (member.mNode == readers[0].mNode) {
          member.mStatus = MemberStatus::kSuspect;
        }
      }
      const Members now = ReadersOf(members);
      CHECK_EQUAL(2, now.size());
      CHECK(!ReadsStore(members, readers[0].mNode));
    }
  }
}
