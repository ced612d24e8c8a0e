#include <algorithm>
#include <ctime>
#include <string>
#include <vector>

#include "heatherfork/detail/relay/event_stream.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork::relay;

namespace {

struct Row
{
  std::string mName;
  std::string mBytes;
  std::vector<std::string> mIds; ///< Of the complete events.
  bool mHasRest;
};

const Row kRows[] = {
  { "line feeds", "id: 1\ndata: a\n\nid: 2\n\n", { "1", "2" }, false },
  { "CRLF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", { "1", "2" }, false },
  { "LF, then CRLF", "id: 1\ndata: a\n\r\nid: 2\n\n", { "1", "2" }, false },
  { "CRLF, then LF", "id: 1\r\ndata: a\r\n\nid: 2\n\n", { "1", "2" }, false },
  { "no id", "data: a\n\n", { "" }, false },
  { "rest", "id: 1\n\nid: 2\nda", { "1" }, true },
  { "blank lines", "\n\nid: 1\n\n", { "", "1" }, false },
  { "nothing", "", {}, false },
};

struct BatchRow
{
  std::string mName;
  std::string mBytes;
  std::string mForwarded;
  std::string mComments;
  std::string mLastId;
  int mEvents;
};

const BatchRow kBatchRows[] = {
  { "two events", "id: 1\n\ng\n\n", "id: 1\n\ng\n\n", "", "1", 2 },
  { "the last id", "id: 1\n\nid: 2\n\n", "id: 1\n\nid: 2\n\n", "", "2", 2 },
  { "a part of a third", "g\n\ng\n\ng\n", "g\n\ng\n\n", "", "", 2 },
  { "a comment before", ": a\n\ng\n\n", ": a\n\ng\n\n", "", "", 1 },
  { "a comment after", "g\n\n: a\n\n: b", "g\n\n", ": a\n\n", "", 1 },
  { "a comment between",
    "id: 1\n\n: a\n\ng\n\n",
    "id: 1\n\n: a\n\ng\n\n",
    "",
    "1",
    2 },
  { "comments alone", ": a\n\n\n\n", "", ": a\n\n\n\n", "", 0 },
  { "no end of an event", "id: 1\n", "", "", "", 0 },
  { "nothing", "", "", "", "", 0 },
};

std::vector<std::string>
TakeIds(EventStream& aStream)
{
  std::vector<std::string> ids;
  while (const auto event = aStream.TakeNext()) {
    ids.push_back(event->mId);
  }
  return ids;
}

void
CheckIds(const Row& aRow, const std::vector<std::string>& aIds)
{
  CHECK_EQUAL_TEXT(aRow.mIds.size(), aIds.size(), aRow.mName.c_str());
  for (std::size_t n = 0; n < aIds.size(); ++n) {
    STRCMP_EQUAL_TEXT(
      aRow.mIds[n].c_str(), aIds[n].c_str(), aRow.mName.c_str());
  }
}

double
ThreadSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

/// Processor time to take in pieces of one event whose end never comes.
double
CostOfEndlessEvent(std::size_t aPieces)
{
  constexpr std::size_t kPieceBytes = 256;
  constexpr int kRounds = 3;
  const std::string piece = ": " + std::string(kPieceBytes, 'a') + "\n";
  double best = 0;
  for (int round = 0; round < kRounds; ++round) {
    EventStream stream;
    const double startedAt = ThreadSeconds();
    for (std::size_t n = 0; n < aPieces; ++n) {
      stream.Add(piece);
      CHECK_FALSE(stream.TakeNext().has_value());
    }
    const double took = ThreadSeconds() - startedAt;
    best = round == 0 ? took : std::min(best, took);
  }
  return best;
}

} // namespace

TEST_GROUP(EventStream){};

TEST(EventStream, EndsEventsAtBlankLines)
{
  for (const Row& row : kRows) {
    EventStream whole;
    whole.Add(row.mBytes);
    CheckIds(row, TakeIds(whole));
    CHECK_EQUAL_TEXT(row.mHasRest, whole.HasPartialEvent(), row.mName.c_str());

    EventStream byByte;
    std::vector<std::string> ids;
    for (const char byte : row.mBytes) {
      byByte.Add({ &byte, 1 });
      const auto taken = TakeIds(byByte);
      ids.insert(ids.end(), taken.begin(), taken.end());
    }
    CheckIds(row, ids);
    CHECK_EQUAL_TEXT(row.mHasRest, byByte.HasPartialEvent(), row.mName.c_str());
  }
}

TEST(EventStream, TakesAllEventsTogether)
{
  for (const BatchRow& row : kBatchRows) {
    EventStream stream;
    stream.Add(row.mBytes);
    const EventBatch batch = stream.TakeAll();
    const char* name = row.mName.c_str();
    STRCMP_EQUAL_TEXT(row.mForwarded.c_str(), batch.mBytes.c_str(), name);
    STRCMP_EQUAL_TEXT(row.mComments.c_str(), batch.mComments.c_str(), name);
    STRCMP_EQUAL_TEXT(row.mLastId.c_str(), batch.mLastId.c_str(), name);
    CHECK_EQUAL_TEXT(row.mEvents, batch.mEvents, name);
    CHECK_EQUAL_TEXT(0, stream.TakeAll().mEvents, name);
  }
}

// A replica in trouble sends bytes without end and no event in them.
TEST(EventStream, LooksAtEachByteOnce)
{
  constexpr std::size_t kPieces = 4000;
  constexpr double kMaxGrowth = 8; // Four times the bytes; 16 if quadratic.
  const double small = CostOfEndlessEvent(kPieces);
  const double large = CostOfEndlessEvent(4 * kPieces);
  CHECK(large <= small * kMaxGrowth);
}
