#include "heatherfork/detail/relay/skipped_entries.h"
#include "heatherfork/detail/relay/store_copy.h"
#include "heatherfork/store_readers.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using relay::StoreCopy;
using relay::StoreUpdate;

namespace {

// Values are "CONTENT,HEARTBEAT"; only the content counts.
bool
Differs(const StoreItem& aOld, const StoreItem& aNew)
{
  const auto content = [](const StoreItem& aItem) {
    return aItem.mValue.substr(0, aItem.mValue.find(','));
  };
  return content(aOld) != content(aNew);
}

StoreAnswer
MakeAnswer(Revision aAt, std::vector<StoreItem> aItems, bool aHasMore = false)
{
  StoreAnswer answer;
  answer.mStatus = StoreAnswer::Status::kOk;
  answer.mAt = aAt;
  answer.mLastKey = aItems.empty() ? "" : aItems.back().mKey;
  answer.mItems = std::move(aItems);
  answer.mHasMore = aHasMore;
  return answer;
}

/// A complete copy with items a and b at revision 10.
StoreCopy
MakeCompleteCopy()
{
  StoreCopy copy(Differs);
  CHECK(copy.ApplyPage(
    MakeAnswer(10, { { "a", "x,1", 4, false }, { "b", "x,1", 9, false } })));
  return copy;
}

std::string
ToText(const StoreCopy& aCopy)
{
  std::string text = std::to_string(aCopy.HeldRevision()) + ":";
  for (const auto& [key, item] : aCopy.HeldItems()) {
    text += " " + key + "=" + item.mValue;
  }
  return text;
}

Members
MakeMembers(int aCount, int aZones)
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
FindReaders(const Members& aMembers)
{
  Members readers;
  for (const Member& member : aMembers) {
    if (IsStoreReader(aMembers, member.mNode)) {
      readers.push_back(member);
    }
  }
  return readers;
}

} // namespace

TEST_GROUP(StoreCopy){};

TEST(StoreCopy, MergesPeerUpdatesInAnyOrder)
{
  struct Row
  {
    const char* mName;
    StoreUpdate mUpdate;
    StoreCopy::MergeResult mExpected;
    const char* mHeld;
  };
  const Row kRows[] = {
    { "next",
      { 10, 12, { { "a", "y,2", 12, false } } },
      StoreCopy::MergeResult::kChanged,
      "12: a=y,2 b=x,1" },
    { "overlapping",
      { 3, 11, { { "a", "x,1", 4, false }, { "b", "", 11, true } } },
      StoreCopy::MergeResult::kChanged,
      "11: a=x,1" },
    { "heartbeat",
      { 10, 12, { { "a", "x,2", 12, false } } },
      StoreCopy::MergeResult::kUnchanged,
      "12: a=x,2 b=x,1" },
    { "no change",
      { 10, 10, {} },
      StoreCopy::MergeResult::kUnchanged,
      "10: a=x,1 b=x,1" },
    { "older",
      { 6, 9, { { "b", "", 9, true } } },
      StoreCopy::MergeResult::kStale,
      "10: a=x,1 b=x,1" },
    { "gap",
      { 11, 12, { { "a", "y,2", 12, false } } },
      StoreCopy::MergeResult::kGap,
      "10: a=x,1 b=x,1" },
    { "older deletion",
      { 5, 12, { { "b", "", 8, true } } },
      StoreCopy::MergeResult::kUnchanged,
      "12: a=x,1 b=x,1" },
  };
  for (const Row& row : kRows) {
    StoreCopy copy = MakeCompleteCopy();
    CHECK_TEXT(copy.ApplyUpdate(row.mUpdate) == row.mExpected, row.mName);
    STRCMP_EQUAL_TEXT(row.mHeld, ToText(copy).c_str(), row.mName);
  }
}

// A peer's update may arrive while a watch is waiting. The late, older answer
// must not restore deleted items.
TEST(StoreCopy, IgnoresWatchAnswerOlderThanPeerUpdate)
{
  StoreCopy copy = MakeCompleteCopy();
  CHECK(copy.ApplyUpdate({ 10, 13, { { "a", "", 13, true } } }) ==
        StoreCopy::MergeResult::kChanged);
  StoreUpdate update;
  CHECK_FALSE(copy.ApplyWatchAnswer(
    MakeAnswer(12, { { "a", "y,2", 12, false } }), update));
  STRCMP_EQUAL("13: b=x,1", ToText(copy).c_str());
  CHECK(update.mItems.empty());
  // A newer answer contains all changes in between, in order.
  CHECK(copy.ApplyWatchAnswer(MakeAnswer(14,
                                         { { "a", "y,2", 12, false },
                                           { "a", "", 13, true },
                                           { "b", "z,2", 14, false } }),
                              update));
  STRCMP_EQUAL("14: b=z,2", ToText(copy).c_str());
}

TEST(StoreCopy, OmitsHeartbeatsFromUpdates)
{
  StoreCopy copy = MakeCompleteCopy();
  StoreUpdate update;
  CHECK(copy.ApplyWatchAnswer(
    MakeAnswer(12, { { "a", "x,2", 11, false }, { "b", "y,2", 12, false } }),
    update));
  CHECK_EQUAL(10, update.mFrom);
  CHECK_EQUAL(12, update.mAt);
  CHECK_EQUAL(1, update.mItems.size());
  STRCMP_EQUAL("b", update.mItems[0].mKey.c_str());
}

TEST(StoreCopy, ReplacesItemsAfterLastPage)
{
  StoreCopy copy(Differs);
  CHECK_FALSE(
    copy.ApplyPage(MakeAnswer(10, { { "a", "x,1", 4, false } }, true)));
  STRCMP_EQUAL("a", copy.PageStartKey().c_str());
  CHECK_FALSE(copy.IsComplete());
  CHECK(copy.ApplyPage(MakeAnswer(15, { { "b", "x,1", 9, false } })));
  STRCMP_EQUAL("10: a=x,1 b=x,1", ToText(copy).c_str());
  CHECK(copy.IsComplete());
}

TEST(StoreCopy, PeerSnapshotReplacesRangeReadInProgress)
{
  StoreCopy copy = MakeCompleteCopy();
  copy.Restart();
  CHECK(copy.ApplyUpdate({ 10, 11, {} }) == StoreCopy::MergeResult::kGap);
  CHECK_FALSE(copy.ApplySnapshot(0, 9, {}));
  CHECK(copy.ApplySnapshot(0, 20, { { "c", { "c", "x,1", 18, false } } }));
  CHECK(copy.IsComplete());
  // The node's own range read started earlier, so its result is older.
  CHECK_FALSE(copy.ApplyPage(MakeAnswer(19, {})));
  STRCMP_EQUAL("20: c=x,1", ToText(copy).c_str());
}

// Revisions are reused after the store was restored.
TEST(StoreCopy, LaterErasOutrankHigherRevisions)
{
  const StoreCopy::Items items{ { "c", { "c", "x,1", 5, false } } };
  struct Row
  {
    StoreEra mEra;
    Revision mAt;
    bool mIsNewer;
  };
  const Row kRows[] = {
    { 0, 10, false }, { 0, 11, true },   { 1, 6, true },
    { 1, 10, true },  { 1, 1000, true }, { 0, 1000, true },
  };
  for (const Row& row : kRows) {
    StoreCopy copy = MakeCompleteCopy();
    CHECK_EQUAL(row.mIsNewer, copy.ApplySnapshot(row.mEra, row.mAt, items));
    CHECK_EQUAL(row.mIsNewer ? row.mEra : 0, copy.HeldEra());
    // Nothing of an earlier era replaces it, whatever its revision.
    if (row.mEra == 1) {
      CHECK_FALSE(copy.ApplySnapshot(0, 2000, {}));
      CHECK(copy.ApplyUpdate({ row.mAt, 2000, {}, 0 }) ==
            StoreCopy::MergeResult::kStale);
      CHECK(copy.ApplyUpdate({ row.mAt, 3, {}, 2 }) ==
            StoreCopy::MergeResult::kGap);
    }
  }
}

TEST(StoreCopy, PagesOfALaterEraReplaceHigherRevisions)
{
  StoreCopy copy = MakeCompleteCopy();
  copy.Restart();
  StoreAnswer page = MakeAnswer(7, { { "c", "x,1", 5, false } });
  page.mEra = 1;
  CHECK(copy.ApplyPage(page));
  STRCMP_EQUAL("7: c=x,1", ToText(copy).c_str());
  CHECK_EQUAL(1U, copy.HeldEra());
  // Without an era in the answer, the era is unchanged.
  StoreUpdate update;
  CHECK(
    copy.ApplyWatchAnswer(MakeAnswer(8, { { "c", "y,1", 8, false } }), update));
  CHECK_EQUAL(1U, update.mEra);
}

TEST(StoreCopy, AnswersThatContinueFromAnotherStateDoNotFit)
{
  using enum StoreCall::Kind;
  using enum StoreCopy::AnswerFit;
  struct Row
  {
    const char* mName;
    StoreCall::Kind mKind;
    std::string mFrom;
    Revision mAfter;
    StoreEra mCallEra;
    std::optional<StoreEra> mAnswerEra;
    StoreCopy::AnswerFit mExpected;
  };
  // The copy is at revision 10 of era 4.
  const Row kRows[] = {
    { "watch", kWatch, "", 10, 4, 4, kFits },
    { "no era named", kWatch, "", 10, 4, std::nullopt, kFits },
    { "peer's update since the call", kWatch, "", 8, 4, 4, kFits },
    { "store restored", kWatch, "", 10, 4, 5, kRestart },
    { "call before a peer's copy", kWatch, "", 90, 3, 4, kRestart },
    { "all before a peer's copy", kWatch, "", 90, 3, 3, kRestart },
    { "range", kRange, "", 0, 4, 4, kFits },
    { "range of a later era", kRange, "", 0, 4, 5, kFits },
    { "range of an earlier era", kRange, "", 0, 4, 3, kStale },
    { "page whose first one is gone", kRange, "b", 0, 4, 4, kRestart },
  };
  for (const Row& row : kRows) {
    StoreCopy copy(Differs);
    CHECK(copy.ApplySnapshot(4, 10, {}));
    StoreCall call;
    call.mKind = row.mKind;
    call.mFrom = row.mFrom;
    call.mAfter = row.mAfter;
    call.mEra = row.mCallEra;
    StoreAnswer answer = MakeAnswer(12, {});
    answer.mEra = row.mAnswerEra;
    CHECK_TEXT(copy.Check(call, answer) == row.mExpected, row.mName);
  }
}

// Such a page would be read forever, or end a list that goes on.
TEST(StoreCopy, PageWithMoreLeadsToAnotherPage)
{
  struct Row
  {
    const char* mName;
    std::vector<std::string> mLastKeys; ///< Of the pages before.
    std::string mLastKey;
    bool mHasMore;
    StoreCopy::AnswerFit mExpected;
  };
  using enum StoreCopy::AnswerFit;
  const Row kRows[] = {
    { "only page", {}, "a", false, kFits },
    { "no items", {}, "", false, kFits },
    { "first page", {}, "a", true, kFits },
    { "next page", { "a" }, "b", true, kFits },
    { "last page without items", { "a" }, "", false, kFits },
    { "in another order", { "b" }, "a", true, kFits },
    { "no key", {}, "", true, kEndless },
    { "no key after a page", { "a" }, "", true, kEndless },
    { "same page", { "a" }, "a", true, kEndless },
    { "turns in a circle", { "a", "b" }, "a", true, kEndless },
  };
  for (const Row& row : kRows) {
    StoreCopy copy(Differs);
    for (const std::string& key : row.mLastKeys) {
      CHECK_FALSE(
        copy.ApplyPage(MakeAnswer(10, { { key, "x,1", 4, false } }, true)));
    }
    StoreCall call;
    call.mKind = StoreCall::Kind::kRange;
    call.mFrom = copy.PageStartKey();
    StoreAnswer page = MakeAnswer(10, {}, row.mHasMore);
    page.mLastKey = row.mLastKey;
    CHECK_TEXT(copy.Check(call, page) == row.mExpected, row.mName);
  }
}

// The items of a page may all be of no use.
TEST(StoreCopy, PageWithoutItemsIsNotTheLast)
{
  StoreCopy copy(Differs);
  StoreAnswer page = MakeAnswer(10, {}, true);
  page.mLastKey = "a";
  CHECK_FALSE(copy.ApplyPage(page));
  CHECK_FALSE(copy.IsComplete());
  STRCMP_EQUAL("a", copy.PageStartKey().c_str());
}

// Items of no use come as deletions, from ranges too.
TEST(StoreCopy, DeletionsAreNotHeld)
{
  StoreCopy copy(Differs);
  CHECK(copy.ApplyPage(
    MakeAnswer(10, { { "a", "x,1", 4, false }, { "b", "", 9, true } })));
  STRCMP_EQUAL("10: a=x,1", ToText(copy).c_str());
  StoreUpdate update;
  CHECK_FALSE(
    copy.ApplyWatchAnswer(MakeAnswer(12, { { "c", "", 11, true } }), update));
  CHECK(update.mItems.empty());
  CHECK(
    copy.ApplyWatchAnswer(MakeAnswer(14, { { "a", "", 13, true } }), update));
  CHECK_TRUE(update.mItems.at(0).mIsDeleted);
  STRCMP_EQUAL("14:", ToText(copy).c_str());
}

TEST(StoreCopy, LogsASkippedEntryOnce)
{
  relay::SkippedEntries entries(3);
  CHECK_TRUE(entries.Add("a"));
  CHECK_FALSE(entries.Add("a"));
  CHECK_TRUE(entries.Add(std::string_view("\0", 1)));
  CHECK_TRUE(entries.Add(""));
  CHECK_FALSE(entries.Add("b")); // Too many.
  entries.Remove("a");
  entries.Remove("c");
  CHECK_TRUE(entries.Add("b"));
  CHECK_FALSE(entries.Add("a"));
}

TEST(StoreCopy, PagesOfTwoErasAreNotJoined)
{
  StoreCopy copy(Differs);
  StoreAnswer page = MakeAnswer(10, { { "a", "x,1", 4, false } }, true);
  page.mEra = 1;
  CHECK_FALSE(copy.ApplyPage(page));
  StoreCall call;
  call.mKind = StoreCall::Kind::kRange;
  call.mFrom = copy.PageStartKey();
  page.mEra = 2;
  CHECK(copy.Check(call, page) == StoreCopy::AnswerFit::kRestart);
}

// The load on the store must not grow with the number of nodes.
TEST(StoreCopy, ChoosesAtMostTwoReaders)
{
  for (const int zones : { 1, 2, 4 }) {
    for (const int count : { 1, 2, 3, 8, 70, 570 }) {
      Members members = MakeMembers(count, zones);
      const Members readers = FindReaders(members);
      CHECK_EQUAL(std::min(count, 2), static_cast<int>(readers.size()));
      if (count >= 2 && zones >= 2) {
        CHECK(readers[0].mZone != readers[1].mZone);
      }
      if (count < 3) {
        continue;
      }
      // A lost reader is replaced. The other one stays.
      for (Member& member : members) {
        if (member.mNode == readers[0].mNode) {
          member.mStatus = MemberStatus::kSuspect;
        }
      }
      const Members newReaders = FindReaders(members);
      CHECK_EQUAL(2, newReaders.size());
      CHECK(!IsStoreReader(members, readers[0].mNode));
    }
  }
}
